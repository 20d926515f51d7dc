-- Services abort responses and respond with the ID of another exchange while an
-- entry instance is stopped gracefully. No caller may receive an incomplete
-- response or the response of another call.
sleep(4)
calls{kind="order", target="orders", rate=60, seconds=12, twice=0.2}
calls{kind="check", target="stock", rate=80, seconds=12}
calls{kind="quote", target="desk", rate=40, seconds=12}
for _ = 1, 5 do
  sleep(1)
  fault("stock-1", {lose_answers=3, wrong_answers=3})
  fault("orders-1", {lose_answers=2, wrong_answers=2})
end
stop("entry-2")
wait()
