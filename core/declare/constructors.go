package declare

// NewEndpoint returns an endpoint that comes from the platform's list of servers
// instead of a declaration.
func NewEndpoint(name, address, failureDomain string, slots int) *Endpoint {
	return &Endpoint{name: name, address: address, kind: "service", failureDomain: failureDomain, slots: slots}
}

// NewStage returns a stage served by such endpoints. At most maxQueue requests
// may wait for it at one instance.
func NewStage(name string, maxQueue int, endpoints []*Endpoint) *Stage {
	return &Stage{name: name, unit: "calls", idempotent: true, maxQueue: maxQueue, endpoints: endpoints}
}

// NewOrganisation returns an organisation that comes from the platform's
// configuration. It has no keys, since the platform's configuration
// authenticates its callers.
func NewOrganisation(name string, share float64) *Organisation {
	return &Organisation{name: name, share: share}
}
