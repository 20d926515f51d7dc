-- Callers send quotes and orders again through other entry instances, some of them
-- before the first response has arrived.
sleep(4)
calls{kind="quote", target="desk", rate=60, seconds=8, twice=0.2, impatient=0.2}
calls{kind="order", target="orders", rate=60, seconds=8, twice=0.2, impatient=0.2}
calls{kind="check", target="stock", rate=40, seconds=8}
wait()
