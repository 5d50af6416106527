package declare

// NewEndpoint returns an endpoint that is known from the platform's list of
// servers and not from a declaration.
func NewEndpoint(name, address, failureDomain string, slots int) *Endpoint {
	return &Endpoint{name: name, address: address, kind: "service", failureDomain: failureDomain, slots: slots}
}

// NewStage returns a stage of such endpoints, at which queue requests may wait.
func NewStage(name string, queueLimit int, endpoints []*Endpoint) *Stage {
	return &Stage{name: name, unit: "calls", idempotent: true, queueLimit: queueLimit, endpoints: endpoints}
}

// NewOrganisation returns an organisation that is known from the platform's
// configuration. Its callers are authenticated there.
func NewOrganisation(name string, share float64) *Organisation {
	return &Organisation{name: name, share: share}
}
