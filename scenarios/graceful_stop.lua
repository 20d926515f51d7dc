-- Entry instances are stopped gracefully and started again, one after another,
-- under load without other faults. No call may be aborted.
sleep(4)
calls{kind="quote", target="desk", rate=60, seconds=20}
calls{kind="order", target="orders", rate=60, seconds=20}
calls{kind="check", target="stock", rate=60, seconds=20}
for i = 1, 2 do
  sleep(2)
  stop("entry-" .. i)
  sleep(7)
  restart("entry-" .. i)
end
wait()
