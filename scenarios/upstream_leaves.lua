-- An engine and a service leave while the instance list lags by ten seconds. Both
-- refuse new requests, as leaving upstreams do. A third upstream is killed.
sleep(12)
fault("platform", {list_lag_ms=10000})
calls{kind="quote", target="desk", rate=60, seconds=14, twice=0.1}
calls{kind="order", target="orders", rate=60, seconds=14, twice=0.1}
calls{kind="check", target="stock", rate=60, seconds=14}
sleep(2)
leave("desk-2")
fault("desk-2", {refuse=true})
leave("orders-2")
fault("orders-2", {refuse=true})
sleep(2)
kill("stock-2")
wait()
