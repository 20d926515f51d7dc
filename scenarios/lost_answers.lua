-- The key-value service is slow and loses the responses of writes that took
-- effect, while one entry instance is frozen and another is killed.
sleep(4)
calls{kind="quote", target="desk", rate=60, seconds=14, twice=0.2, impatient=0.2}
calls{kind="order", target="orders", rate=60, seconds=14, twice=0.2, impatient=0.2}
fault("platform", {delay_ms=150, lose_write_answers=20})
sleep(2)
freeze("entry-1")
sleep(1)
kill("entry-2")
fault("platform", {lose_write_answers=20})
sleep(4)
thaw("entry-1")
restart("entry-2")
wait()
