-- An entry instance is killed during an outage of the key-value service.
sleep(4)
calls{kind="quote", target="desk", rate=60, seconds=16, twice=0.2, impatient=0.2}
calls{kind="order", target="orders", rate=60, seconds=16, twice=0.2, impatient=0.2}
sleep(2)
fault("platform", {outage=true})
sleep(3)
kill("entry-" .. random(4))
sleep(6)
fault("platform", {outage=false})
wait()
