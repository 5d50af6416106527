// Package settings owns the settings of an entry instance, which differ from one
// process to the next. What all instances share is in the declarations.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"chervilpath/core/option"
)

// Entry holds the settings of an entry instance that reads declarations from the
// platform's store.
type Entry struct {
	name                            string
	failureDomain                   string
	callerAddress                   string
	peerAddress                     string
	operatorAddress                 string
	platformURL                     string
	readsPerSecond, writesPerSecond float64
	seeds                           []string
	secret                          string
	operatorToken                   string
	maxBody                         int64
	maxHeader                       int64
	maxConnections                  int
	drainTimeout                    time.Duration
	shutdownDelay                   time.Duration
	ticketTTL                       time.Duration
	retention                       time.Duration
	maxKeys                         int
	costWindow                      time.Duration
	logLevel                        string
	tls                             TLS
}

// TLS holds the names of certificate and key files. A name is "" if it is not
// set. Without a certificate, connections use plain TCP; without PlatformCA or
// EndpointCA, the certificate authorities of the operating system are used.
type TLS struct {
	// CallerCert and CallerKey are presented to callers.
	CallerCert, CallerKey string
	// OperatorCert and OperatorKey are presented to operators.
	OperatorCert, OperatorKey string
	// PeerCert and PeerKey are presented to other instances, both as server and
	// as client. PeerCA signs the certificates of other instances.
	PeerCert, PeerKey, PeerCA string
	// PlatformCA and EndpointCA sign the certificates of the platform and of
	// endpoints.
	PlatformCA, EndpointCA string
}

// Table lists every setting of an Entry.
var Table = option.Table{
	Title: "Settings of an entry instance",
	Doc:   "The settings file of one process, passed to `chervilpath entry --settings FILE`.",
	Sections: []option.Section{
		{
			Kind: "instance",
			Doc:  "Identity of the instance and the addresses at which it listens.",
			Options: []option.Option{
				{Key: "name", Kind: option.Name, Required: true, Doc: "Name of the instance, unique in the fleet."},
				{Key: "failureDomain", Kind: option.Name, Required: true, Doc: "Failure domain in which the instance runs."},
				{Key: "callerAddress", Kind: option.Address, Required: true, Doc: "Address at which callers are served."},
				{Key: "peerAddress", Kind: option.Address, Required: true, Doc: "Address at which other instances are served. They connect to exactly this address."},
				{Key: "operatorAddress", Kind: option.Address, Required: true, Doc: "Address at which health, metrics, status and profiles are served."},
				{Key: "operatorTokenFile", Kind: option.Text, Doc: "File with the token that operators must send to read metrics, status and profiles. If it is left out, anyone may read them. Health and readiness need no token."},
				{Key: "logLevel", Kind: option.Choice, Choices: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "Lowest level that is logged."},
			},
		},
		{
			Kind: "platform",
			Doc:  "The platform's store, which holds this system's own kinds of objects and the list of servers.",
			Options: []option.Option{
				{Key: "url", Kind: option.URL, Required: true, Doc: "URL at which the platform listens."},
				{Key: "readsPerSecond", Kind: option.Number, Default: "20", Min: 0.1, Max: 2000, Doc: "This instance's share of the platform's limit on reads per second."},
				{Key: "writesPerSecond", Kind: option.Number, Default: "20", Min: 0.1, Max: 500, Doc: "This instance's share of the platform's limit on writes per second."},
			},
		},
		{
			Kind: "peers",
			Doc:  "The other entry instances.",
			Options: []option.Option{
				{Key: "seeds", Kind: option.TextList, Doc: "Peer addresses of some other instances, through which all others are discovered."},
				{Key: "secretFile", Kind: option.Text, Required: true, Doc: "File with the secret that all instances share, of at least 16 bytes."},
			},
		},
		{
			Kind: "tls",
			Doc:  "Certificate and key files in PEM. A changed file takes effect without a restart. Where no certificate is set, connections use plain TCP.",
			Options: []option.Option{
				{Key: "callerCert", Kind: option.Text, Doc: "Certificate presented to callers."},
				{Key: "callerKey", Kind: option.Text, Doc: "Private key of `callerCert`."},
				{Key: "operatorCert", Kind: option.Text, Doc: "Certificate presented to operators."},
				{Key: "operatorKey", Kind: option.Text, Doc: "Private key of `operatorCert`."},
				{Key: "peerCert", Kind: option.Text, Doc: "Certificate presented to other instances, as server and as client. It must name the IP address of `peerAddress`."},
				{Key: "peerKey", Kind: option.Text, Doc: "Private key of `peerCert`."},
				{Key: "peerCA", Kind: option.Text, Doc: "Certificate authorities that sign the certificates of instances."},
				{Key: "platformCA", Kind: option.Text, Doc: "Certificate authorities that sign the platform's certificate; those of the operating system if left out."},
				{Key: "endpointCA", Kind: option.Text, Doc: "Certificate authorities that sign the certificates of endpoints; those of the operating system if left out."},
			},
		},
		{
			Kind: "limits",
			Doc:  "Limits on what the instance accepts and keeps.",
			Options: []option.Option{
				{Key: "maxBody", Kind: option.Size, Default: "8MB", Min: 1 << 10, Max: 64 << 20, Doc: "Maximum size of a request's body."},
				{Key: "maxHeader", Kind: option.Size, Default: "32KB", Min: 1 << 10, Max: 1 << 20, Doc: "Maximum size of a request's header."},
				{Key: "maxConnections", Kind: option.Number, Default: "10000", Min: 1, Max: 1000000, Doc: "Maximum number of simultaneous connections from callers."},
				{Key: "drain", Kind: option.Duration, Default: "60s", Min: 0.1, Max: 3600, Doc: "Maximum time for requests in flight to complete when the instance stops."},
				{Key: "notice", Kind: option.Duration, Default: "5s", Min: 0, Max: 600, Doc: "How long a stopping instance still accepts requests while its readiness check fails, so that the load balancer notices. It counts against `drain`."},
				{Key: "ticketLife", Kind: option.Duration, Default: "10m", Min: 1, Max: 86400, Doc: "How long a ticket remains valid."},
				{Key: "remember", Kind: option.Duration, Default: "30m", Min: 1, Max: 86400, Doc: "How long the outcome of a request that runs at most once is kept in memory."},
				{Key: "keys", Kind: option.Number, Default: "50000", Min: 1, Max: 10000000, Doc: "Maximum number of such outcomes that are kept at once."},
				{Key: "costWindow", Kind: option.Duration, Default: "10s", Min: 0.1, Max: 3600, Doc: "Interval at which records of cost are stored. A crash loses at most two intervals."},
			},
		},
	},
}

const minSecretBytes = 16

// ParseEntry parses the settings of an entry instance. The files of the peers'
// secret and the operators' token are read with readFile, usually os.ReadFile.
func ParseEntry(file string, data []byte, readFile func(string) ([]byte, error)) (Entry, error) {
	sections, err := parseSections(&Table, file, data)
	if err != nil {
		return Entry{}, err
	}
	if problems := checkTLS(sections["tls"]); problems.Err() != nil {
		return Entry{}, problems
	}
	secret, err := readFile(sections["peers"].Text("secretFile"))
	if err != nil {
		return Entry{}, fmt.Errorf("reading the peers' secret: %w", err)
	}
	if len(strings.TrimSpace(string(secret))) < minSecretBytes {
		return Entry{}, option.Problems{sections["peers"].Problem("secretFile", "the secret in the file is shorter than %d bytes; write a longer one", minSecretBytes)}
	}
	e := newEntry(sections, strings.TrimSpace(string(secret)))
	if file := sections["instance"].Text("operatorTokenFile"); file != "" {
		token, err := readFile(file)
		if err != nil {
			return Entry{}, fmt.Errorf("reading the operators' token: %w", err)
		}
		e.operatorToken = strings.TrimSpace(string(token))
		if len(e.operatorToken) < minSecretBytes {
			return Entry{}, option.Problems{sections["instance"].Problem("operatorTokenFile", "the token in the file is shorter than %d bytes; write a longer one", minSecretBytes)}
		}
	}
	return e, nil
}

// parseSections parses a file and returns one block for each section of its
// table, with defaults for sections that the file does not have.
func parseSections(table *option.Table, file string, data []byte) (map[string]*option.Block, error) {
	blocks, problems := table.Parse(file, data)
	sections := make(map[string]*option.Block)
	for _, b := range blocks {
		sections[b.Kind()] = b
	}
	for _, s := range table.Sections {
		if sections[s.Kind] != nil || len(problems) > 0 {
			continue
		}
		b, missing := table.DefaultBlock(file, s.Kind)
		problems = append(problems, missing...)
		sections[s.Kind] = b
	}
	return sections, problems.Err()
}

// sectionNames returns the names in a file's section headers, without parsing the
// rest.
func sectionNames(data []byte) []string {
	var out []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			out = append(out, strings.TrimSuffix(name, "]"))
		}
	}
	return out
}

// checkTLS reports certificate settings that have to be set together but are not.
func checkTLS(b *option.Block) option.Problems {
	var out option.Problems
	for _, keys := range [][]string{{"callerCert", "callerKey"}, {"operatorCert", "operatorKey"}, {"peerCert", "peerKey", "peerCA"}} {
		present := 0
		for _, key := range keys {
			if b.Text(key) != "" {
				present++
			}
		}
		if present > 0 && present < len(keys) {
			out = append(out, b.Problem(keys[0], "%s must be set together; write all or none", strings.Join(keys, ", ")))
		}
	}
	return out
}

// ReadEntry reads the settings file of an entry instance.
func ReadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, fmt.Errorf("reading settings: %w", err)
	}
	return ParseEntry(file, data, os.ReadFile)
}

func newEntry(sections map[string]*option.Block, secret string) Entry {
	instance, platform, limits := sections["instance"], sections["platform"], sections["limits"]
	return Entry{
		name:            instance.Text("name"),
		failureDomain:   instance.Text("failureDomain"),
		callerAddress:   instance.Text("callerAddress"),
		peerAddress:     instance.Text("peerAddress"),
		operatorAddress: instance.Text("operatorAddress"),
		logLevel:        instance.Text("logLevel"),
		platformURL:     platform.Text("url"),
		readsPerSecond:  platform.Number("readsPerSecond"),
		writesPerSecond: platform.Number("writesPerSecond"),
		seeds:           sections["peers"].List("seeds"),
		secret:          secret,
		maxBody:         limits.Bytes("maxBody"),
		maxHeader:       limits.Bytes("maxHeader"),
		maxConnections:  limits.Int("maxConnections"),
		drainTimeout:    limits.Duration("drain"),
		shutdownDelay:   limits.Duration("notice"),
		ticketTTL:       limits.Duration("ticketLife"),
		retention:       limits.Duration("remember"),
		maxKeys:         limits.Int("keys"),
		costWindow:      limits.Duration("costWindow"),
		tls:             newTLS(sections["tls"]),
	}
}

func newTLS(b *option.Block) TLS {
	return TLS{
		CallerCert: b.Text("callerCert"), CallerKey: b.Text("callerKey"),
		OperatorCert: b.Text("operatorCert"), OperatorKey: b.Text("operatorKey"),
		PeerCert: b.Text("peerCert"), PeerKey: b.Text("peerKey"), PeerCA: b.Text("peerCA"),
		PlatformCA: b.Text("platformCA"), EndpointCA: b.Text("endpointCA"),
	}
}

// TLS returns the names of the certificate and key files.
func (e Entry) TLS() TLS { return e.tls }

// Name returns the instance's name.
func (e Entry) Name() string { return e.name }

// FailureDomain returns the failure domain in which the instance runs.
func (e Entry) FailureDomain() string { return e.failureDomain }

// CallerAddress returns the address at which callers are served.
func (e Entry) CallerAddress() string { return e.callerAddress }

// PeerAddress returns the address at which other instances are served.
func (e Entry) PeerAddress() string { return e.peerAddress }

// OperatorAddress returns the address at which operators are served.
func (e Entry) OperatorAddress() string { return e.operatorAddress }

// PlatformURL returns the URL at which the platform listens.
func (e Entry) PlatformURL() string { return e.platformURL }

// ReadsPerSecond returns the instance's share of the platform's limit on reads.
func (e Entry) ReadsPerSecond() float64 { return e.readsPerSecond }

// WritesPerSecond returns the instance's share of the platform's limit on writes.
func (e Entry) WritesPerSecond() float64 { return e.writesPerSecond }

// Seeds returns the peer addresses through which other instances are discovered.
func (e Entry) Seeds() []string { return e.seeds }

// Secret returns the secret that all instances share.
func (e Entry) Secret() string { return e.secret }

// OperatorToken returns the token that operators must send, or "" if none is
// required.
func (e Entry) OperatorToken() string { return e.operatorToken }

// MaxBody returns the maximum size of a request's body in bytes.
func (e Entry) MaxBody() int64 { return e.maxBody }

// MaxHeader returns the maximum size of a request's header in bytes.
func (e Entry) MaxHeader() int64 { return e.maxHeader }

// MaxConnections returns the maximum number of simultaneous connections from
// callers.
func (e Entry) MaxConnections() int { return e.maxConnections }

// DrainTimeout returns the maximum time for requests in flight to complete when
// the instance stops.
func (e Entry) DrainTimeout() time.Duration { return e.drainTimeout }

// ShutdownDelay returns how long a stopping instance still accepts requests while
// its readiness check fails. It is part of DrainTimeout.
func (e Entry) ShutdownDelay() time.Duration { return e.shutdownDelay }

// TicketTTL returns how long a ticket remains valid.
func (e Entry) TicketTTL() time.Duration { return e.ticketTTL }

// Retention returns how long the outcome of a request that runs at most once is
// kept in memory.
func (e Entry) Retention() time.Duration { return e.retention }

// MaxKeys returns the maximum number of keys whose outcomes are kept in memory.
func (e Entry) MaxKeys() int { return e.maxKeys }

// CostWindow returns the interval at which records of cost are stored.
func (e Entry) CostWindow() time.Duration { return e.costWindow }

// LogLevel returns the lowest level that is logged.
func (e Entry) LogLevel() string { return e.logLevel }
