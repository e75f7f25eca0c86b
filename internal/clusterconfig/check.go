package clusterconfig

// Checks of an operator file that the struct tags of its types cannot express. The texts of faults are shown to users.

import (
	"fmt"
	"net/netip"

	"indigochute.example/indigochute/internal/topology"
)

// Bounds of the file besides those in the struct tags of its types.
const (
	maxNameBytes       = 64  // maximum length of any name
	maxDrift           = 0.5 // exclusive; as a share of a clock's rate
	heartbeatsPerLease = 3   // minimum, so that one lost heartbeat does not end a lease

	// Bounds of the number of control machines. A majority of them must reach each other, so an even number tolerates no more
	// losses than the odd number below it.
	minControlMachines = 3
	maxControlMachines = 9
)

// faultFunc reports one fault of the file: its key, what was found there and what is expected.
type faultFunc func(key, found, expects string)

// quoted returns a value in the quotation marks that faults use.
func quoted(value string) string { return "«" + value + "»" }

// check reports all faults of a decoded file and sets its defaults. The file must list the machine name, unless name is empty.
func (f *File) check(name string, fault faultFunc) {
	f.checkLists(fault) // before setDefaults, which hides that a key was omitted
	f.setDefaults()
	f.checkNames(name, fault)
	f.checkPlaces(fault)
	f.checkUplink(fault)
	f.checkTimes(fault)
	f.checkDuties(fault)
	f.checkProbe(fault)
}

// checkLists reports lists that exclude or require each other, and lists with too few or too many entries.
func (f *File) checkLists(fault faultFunc) {
	switch {
	case f.Instances == nil && f.Control == nil:
		fault("instances", "neither instances nor control", "one of the two lists")
	case f.Instances != nil && f.Control != nil:
		fault("control", "control machines beside instances", "only one of the two lists")
	case f.Instances != nil && len(f.Instances) == 0:
		fault("instances", "0 entries", "1 or more")
	}
	if f.Control == nil {
		f.checkNoControl(fault)
		return
	}
	if n := len(f.Control); !isControlMachineCount(n) {
		fault("control", fmt.Sprintf("%d machines", n), "3, 5, 7 or 9, as more than half must reach each other and an even number "+
			"tolerates no more losses than the odd number below it")
	}
	if len(f.Directors) == 0 {
		fault("directors", "none", fmt.Sprintf("1 to %d that follow the control machines", MaxDirectors))
	}
}

// isControlMachineCount reports whether an installation may have n control machines.
func isControlMachineCount(n int) bool {
	return n >= minControlMachines && n <= maxControlMachines && n%2 != 0
}

// checkNoControl reports keys that require control machines, for a file without any.
func (f *File) checkNoControl(fault faultFunc) {
	if f.Directors != nil {
		fault("directors", "directors without control machines", "a list of control machines, or no directors")
	}
	if f.Uplink != (Uplink{}) {
		fault("uplink", "uplinks without control machines", "a list of control machines, or no uplink")
	}
}

// nameChecker checks names and addresses across all lists of a file.
type nameChecker struct {
	names     map[string]bool // names checked so far
	addresses map[string]bool // addresses checked so far
	fault     faultFunc
}

// checkName reports a name that occurred before or is too long.
func (c *nameChecker) checkName(key, name string) {
	switch {
	case c.names[name]:
		c.fault(key, quoted(name)+" a second time", "another name")
	case len(name) > maxNameBytes:
		c.fault(key, fmt.Sprintf("%d bytes", len(name)), fmt.Sprintf("%d or less", maxNameBytes))
	}
	c.names[name] = true
}

// checkAddress reports an address that is invalid or occurred before.
func (c *nameChecker) checkAddress(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.fault(key, quoted(address), "an address with its port, such as 10.0.0.1:7400")
	} else if c.addresses[address] {
		c.fault(key, quoted(address)+" a second time", "another address")
	}
	c.addresses[address] = true
}

// checkNames reports names and addresses that are invalid or not unique, and a file that does not list the named machine.
func (f *File) checkNames(name string, fault faultFunc) {
	c := &nameChecker{names: map[string]bool{}, addresses: map[string]bool{}, fault: fault}
	for i, instance := range f.Instances {
		c.checkName(fmt.Sprintf("instances[%d].name", i), instance.Name)
		c.checkAddress(fmt.Sprintf("instances[%d].address", i), instance.Address)
	}
	for i, control := range f.Control {
		c.checkName(fmt.Sprintf("control[%d].name", i), control.Name)
		c.checkAddress(fmt.Sprintf("control[%d].address", i), control.Address)
	}
	for i, director := range f.Directors {
		c.checkName(fmt.Sprintf("directors[%d].name", i), director.Name)
		if director.Address != "" {
			c.checkAddress(fmt.Sprintf("directors[%d].address", i), director.Address)
		}
	}
	switch {
	case name == "" || c.names[name]:
	case f.Control != nil:
		fault("directors", "no control machine or director "+quoted(name), "an entry with this machine's name")
	default:
		fault("instances", "no instance "+quoted(name), "an entry with this machine's name")
	}
}

// placeChecker checks that each zone is in one region and each site in one zone.
type placeChecker struct {
	zones map[string]parent // by zone checked so far: its region
	sites map[string]parent // by site checked so far: its zone
	fault faultFunc
}

// parent is the region of a zone, or the zone of a site, and the key of the first entry that names it.
type parent struct{ name, key string }

// check reports names in one entry that are too long, and a place that contradicts an earlier entry.
func (c *placeChecker) check(key string, entry ControlEntry) {
	c.checkLength(key+".region", entry.Region)
	c.checkLength(key+".zone", entry.Zone)
	c.checkLength(key+".site", entry.Site)
	if entry.Region == "" || entry.Zone == "" || entry.Site == "" { // the struct tags report a missing value
		return
	}
	c.checkParent(c.zones, entry.Zone, parent{entry.Region, key}, ".region", "zone")
	c.checkParent(c.sites, entry.Site, parent{entry.Zone, key}, ".zone", "site")
}

// checkLength reports a name that is too long.
func (c *placeChecker) checkLength(key, name string) {
	if len(name) > maxNameBytes {
		c.fault(key, fmt.Sprintf("%d bytes", len(name)), fmt.Sprintf("%d or less", maxNameBytes))
	}
}

// checkParent reports a zone or a site, the child, whose parent differs from that in an earlier entry.
func (c *placeChecker) checkParent(known map[string]parent, child string, found parent, parentKey, childKind string) {
	first, ok := known[child]
	switch {
	case !ok:
		known[child] = found
	case first.name != found.name:
		c.fault(found.key+parentKey, quoted(found.name)+" of "+childKind+" "+quoted(child), quoted(first.name)+" as at "+first.key)
	}
}

// checkPlaces reports names of places that are too long, zones in two regions and sites in two zones.
func (f *File) checkPlaces(fault faultFunc) {
	c := &placeChecker{zones: map[string]parent{}, sites: map[string]parent{}, fault: fault}
	for i, control := range f.Control {
		c.check(fmt.Sprintf("control[%d]", i), control)
	}
	for i, director := range f.Directors {
		c.check(fmt.Sprintf("directors[%d]", i), ControlEntry(director))
	}
}

// checkUplink reports settings of uplinks that are out of bounds.
func (f *File) checkUplink(fault faultFunc) {
	if rate := f.Uplink.Rate; rate < minUplinkRate || rate > maxUplinkRate {
		fault("uplink.rate", quoted(rate.String()), minUplinkRate.String()+" to "+maxUplinkRate.String())
	}
	if spread := f.Uplink.Spread; spread < minUplinkSpread || spread > maxUplinkSpread {
		fault("uplink.spread", quoted(spread.String()), minUplinkSpread.String()+" to "+maxUplinkSpread.String())
	}
}

// checkTimes reports a heartbeat interval that is too long for the lease, and a drift of clocks that is too large for any lease.
func (f *File) checkTimes(fault faultFunc) {
	if f.Heartbeat > f.Lease/heartbeatsPerLease {
		fault("beat", quoted(f.Heartbeat.String()), "a third of the lease of "+f.Lease.String()+" at most")
	}
	if f.Drift >= topology.Share(maxDrift) {
		fault("drift", quoted(f.Drift.String()), "below 50%")
	}
}

// checkProbe reports a vhost without an object, and an object without a vhost.
func (f *File) checkProbe(fault faultFunc) {
	if (f.Probe.Vhost == "") != (f.Probe.Object == "") {
		fault("probe", "a vhost or an object alone", "both or neither")
	}
}

// checkDuties reports duties that are invalid or whose names are not unique.
func (f *File) checkDuties(fault faultFunc) {
	names := map[string]bool{}
	for i := range f.Duties {
		duty := &f.Duties[i]
		key := fmt.Sprintf("duties[%d].", i)
		if names[duty.Name] {
			fault(key+"name", quoted(duty.Name)+" a second time", "another name")
		}
		names[duty.Name] = true
		if duty.Timeout > duty.Period {
			fault(key+"timeout", quoted(duty.Timeout.String()), "no more than the period of "+duty.Period.String())
		}
		duty.checkAddress(key, fault)
		switch {
		case duty.Kind == KindEvent:
			f.checkEvent(key, duty, fault)
		case duty.hasEventSettings():
			fault(key+"kind", "bytes, life or keep with another kind than note", "none of these keys, or kind: note")
		}
	}
}

// hasEventSettings reports whether any key is set that only an event job may have.
func (d *Duty) hasEventSettings() bool { return d.Bytes != 0 || d.Lifetime != 0 || d.Keep != "" }

// checkAddress reports a call job without a valid address, and any other job with an address.
func (d *Duty) checkAddress(key string, fault faultFunc) {
	_, err := netip.ParseAddrPort(d.Address)
	switch {
	case d.Kind == KindCall && err != nil:
		fault(key+"address", quoted(d.Address), "an address with its port")
	case d.Kind != KindCall && d.Address != "":
		fault(key+"address", quoted(d.Address), "none, as only a call has an address")
	}
}

// checkEvent reports faults of an event job.
func (f *File) checkEvent(key string, duty *Duty, fault faultFunc) {
	if f.Control == nil {
		fault(key+"kind", "a note without control machines", "a list of control machines, which publish notes")
	}
	if duty.Bytes < minEventBytes || duty.Bytes > maxEventBytes {
		fault(key+"bytes", quoted(fmt.Sprint(duty.Bytes)), fmt.Sprintf("%d to %d", minEventBytes, maxEventBytes))
	}
	if duty.Lifetime > maxEventLifetime {
		fault(key+"life", quoted(duty.Lifetime.String()), maxEventLifetime.String()+" at most")
	}
}
