-- Entry instances are killed and restarted while callers send quotes and orders,
-- some of them more than once.
sleep(4)
calls{kind="quote", target="desk", rate=60, seconds=14, twice=0.2, impatient=0.2}
calls{kind="order", target="orders", rate=60, seconds=14, twice=0.2, impatient=0.2}
for _ = 1, 3 do
  local name = "entry-" .. random(4)
  sleep(2)
  kill(name)
  sleep(1.5)
  restart(name)
end
wait()
