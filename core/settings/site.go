package settings

import (
	"fmt"
	"os"
	"time"

	"chervilpath/core/option"
)

type (
	// Site holds the settings of an entry instance that the platform hosts. Its
	// file has a section [site].
	Site struct {
		name            string
		failureDomain   string
		callerAddress   string
		peerAddress     string
		operatorAddress string
		seeds           []string
		logLevel        string
		store           string
		bounds          Bounds
		sharedSlots     bool
		weight          float64
		memory          int64
	}

	// Bounds holds the times and rates that the platform's rules prescribe.
	Bounds struct {
		// Drain is the time after which a leaving server must receive no more
		// requests.
		Drain time.Duration
		// HeartbeatInterval is the time between two reports of a server to the
		// store.
		HeartbeatInterval time.Duration
		// ConfigPropagation is the time within which a new configuration must be
		// in force.
		ConfigPropagation time.Duration
		// Grace is the time from SIGTERM to SIGKILL.
		Grace time.Duration
		// RetryRatio, RetrySlack and RetryWindow bound the retries of all
		// instances together. In any RetryWindow, a service may get at most
		// RetryRatio times its requests, plus RetrySlack, as retries.
		RetryRatio, RetrySlack float64
		RetryWindow            time.Duration
		// Evacuation is the time after which an evacuated failure domain must receive no
		// more requests. It is 0 if evacuations are not followed.
		Evacuation time.Duration
		// ColdOver and ColdSlack bound the requests of all instances together to a cold
		// server: in any second, at most ColdOver times the rate that its service tolerates,
		// plus ColdSlack. ColdOver is 0 if cold servers are not limited.
		ColdOver, ColdSlack float64
	}
)

// SiteTable lists every setting of a Site.
var SiteTable = option.Table{
	Title: "Settings of an entry instance on the platform",
	Doc:   "The settings file of one process, which the platform generates from `platform/entry.ini.tmpl`. A settings file that has the section `site` is parsed by this table.",
	Sections: []option.Section{
		{
			Kind: "site",
			Doc:  "Identity of the instance and the addresses at which it listens.",
			Options: []option.Option{
				{Key: "name", Kind: option.Name, Required: true, Doc: "Name of the instance, unique in the fleet."},
				{Key: "failureDomain", Kind: option.Name, Required: true, Doc: "Failure domain in which the instance runs."},
				{Key: "callerAddress", Kind: option.Address, Required: true, Doc: "Address at which callers are served."},
				{Key: "peerAddress", Kind: option.Address, Required: true, Doc: "Address at which other instances are served."},
				{Key: "operatorAddress", Kind: option.Address, Required: true, Doc: "Address at which readiness, health, metrics and status are served."},
				{Key: "seeds", Kind: option.TextList, Doc: "Peer addresses of some other instances, through which all others are discovered."},
				{Key: "logLevel", Kind: option.Choice, Choices: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "Lowest level that is logged."},
			},
		},
		{
			Kind: "store",
			Doc:  "The platform's object store.",
			Options: []option.Option{
				{Key: "address", Kind: option.Address, Required: true, Doc: "Address at which the store listens."},
			},
		},
		{
			Kind: "bounds",
			Doc:  "Times and rates that the platform's rules prescribe.",
			Options: []option.Option{
				{Key: "drain", Kind: option.Duration, Default: "2s", Min: 0.1, Max: 600, Doc: "Time after which a leaving server must receive no more requests."},
				{Key: "config", Kind: option.Duration, Default: "2s", Min: 0.1, Max: 600, Doc: "Time within which a new configuration must be in force."},
				{Key: "heartbeat", Kind: option.Duration, Default: "1200ms", Min: 0.01, Max: 600, Doc: "Time between two reports of a server to the store."},
				{Key: "grace", Kind: option.Duration, Default: "8s", Min: 0.5, Max: 3600, Doc: "Time from SIGTERM until the process is killed."},
				{Key: "repeatRatio", Kind: option.Number, Default: "0.1", Min: 0, Max: 10, Doc: "Retries that all instances together may send to a service, as a fraction of its requests."},
				{Key: "repeatWindow", Kind: option.Duration, Default: "10s", Min: 0.1, Max: 600, Doc: "Time window over which retries are counted."},
				{Key: "repeatSlack", Kind: option.Number, Default: "10", Min: 0, Max: 100000, Doc: "Retries that are allowed in a window in addition to that fraction."},
				{Key: "evacuation", Kind: option.Duration, Default: "0s", Min: 0, Max: 600, Doc: "Time after which an evacuated failure domain must receive no more requests. With 0, evacuations are not followed."},
				{Key: "coldOver", Kind: option.Number, Default: "0", Min: 0, Max: 1000, Doc: "Requests that all instances together may send to a cold server within a second, as a multiple of the rate that its service tolerates. With 0, cold servers are not limited."},
				{Key: "coldSlack", Kind: option.Number, Default: "0", Min: 0, Max: 100000, Doc: "Requests to a cold server that are allowed within a second in addition to that multiple."},
			},
		},
		{
			Kind: "overload",
			Doc:  "Who is delayed or refused when a service has too little room.",
			Options: []option.Option{
				{Key: "sharedSlots", Kind: option.Flag, Default: "no", Doc: "Whether the owner of a plain service that has fewer slots than there are instances gives its slots to the requests of all instances."},
			},
		},
		{
			Kind: "machine",
			Doc:  "Resources of the machine on which the instance runs. Instances with more resources do more work for other instances.",
			Options: []option.Option{
				{Key: "cores", Kind: option.Number, Default: "1", Min: 0.001, Max: 1024, Doc: "Number of processor cores, which may be a fraction."},
				{Key: "memoryMb", Kind: option.Number, Default: "256", Min: 16, Max: 1 << 20, Doc: "Memory in MB. It bounds how much the bodies of requests, the answers of servers and what waits for slow callers take."},
				{Key: "linkMbps", Kind: option.Number, Default: "1000", Min: 0.1, Max: 1000000, Doc: "Bandwidth of the network link in Mbit/s."},
			},
		},
	},
}

// mbpsPerCore is the bandwidth in Mbit/s that one core uses for the work of other
// instances. It follows from the sizes of their calls.
const mbpsPerCore = 250

// IsSite reports whether a settings file has a section [site].
func IsSite(data []byte) bool {
	for _, name := range sectionNames(data) {
		if name == "site" {
			return true
		}
	}
	return false
}

// ReadSite reads and parses the settings file of an instance that the platform
// hosts.
func ReadSite(file string) (Site, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Site{}, fmt.Errorf("reading settings: %w", err)
	}
	return ParseSite(file, data)
}

// ParseSite parses the settings of an instance that the platform hosts.
func ParseSite(file string, data []byte) (Site, error) {
	sections, err := parseSections(&SiteTable, file, data)
	if err != nil {
		return Site{}, err
	}
	site, bounds, machine := sections["site"], sections["bounds"], sections["machine"]
	return Site{
		name: site.Text("name"), failureDomain: site.Text("failureDomain"),
		callerAddress: site.Text("callerAddress"), peerAddress: site.Text("peerAddress"), operatorAddress: site.Text("operatorAddress"),
		seeds: site.List("seeds"), logLevel: site.Text("logLevel"), store: sections["store"].Text("address"),
		weight:      min(machine.Number("cores"), machine.Number("linkMbps")/mbpsPerCore),
		memory:      int64(machine.Number("memoryMb")) << 20,
		sharedSlots: sections["overload"].Flag("sharedSlots"),
		bounds: Bounds{
			Drain: bounds.Duration("drain"), ConfigPropagation: bounds.Duration("config"), HeartbeatInterval: bounds.Duration("heartbeat"),
			Grace: bounds.Duration("grace"), RetryRatio: bounds.Number("repeatRatio"),
			RetrySlack: bounds.Number("repeatSlack"), RetryWindow: bounds.Duration("repeatWindow"),
			Evacuation: bounds.Duration("evacuation"), ColdOver: bounds.Number("coldOver"), ColdSlack: bounds.Number("coldSlack"),
		},
	}, nil
}

// Name returns the instance's name.
func (s Site) Name() string { return s.name }

// FailureDomain returns the failure domain in which the instance runs.
func (s Site) FailureDomain() string { return s.failureDomain }

// CallerAddress returns the address at which callers are served.
func (s Site) CallerAddress() string { return s.callerAddress }

// PeerAddress returns the address at which other instances are served.
func (s Site) PeerAddress() string { return s.peerAddress }

// OperatorAddress returns the address at which operators and the platform are
// served.
func (s Site) OperatorAddress() string { return s.operatorAddress }

// Seeds returns the peer addresses through which other instances are discovered.
func (s Site) Seeds() []string { return s.seeds }

// LogLevel returns the lowest level that is logged.
func (s Site) LogLevel() string { return s.logLevel }

// Store returns the address of the platform's store.
func (s Site) Store() string { return s.store }

// SharesSlots reports whether owners of plain services give their slots to the requests of all
// instances.
func (s Site) SharesSlots() bool { return s.sharedSlots }

// Memory returns the memory of the machine in bytes.
func (s Site) Memory() int64 { return s.memory }

// Weight returns the instance's capacity for work that it does for other
// instances, in cores.
func (s Site) Weight() float64 { return s.weight }

// Bounds returns the times and rates that the platform's rules prescribe.
func (s Site) Bounds() Bounds { return s.bounds }
