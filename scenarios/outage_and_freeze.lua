-- An entry instance is frozen during an outage of the key-value service until all
-- its leases have expired, and then resumed.
sleep(4)
calls{kind="quote", target="desk", rate=60, seconds=18, twice=0.2, impatient=0.2}
calls{kind="order", target="orders", rate=60, seconds=18, twice=0.2, impatient=0.2}
sleep(2)
fault("platform", {outage=true})
sleep(1)
local name = "entry-" .. random(4)
freeze(name)
sleep(5)
fault("platform", {outage=false})
sleep(4)
thaw(name)
wait()
