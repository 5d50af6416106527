// Package settings owns the settings of an entry instance: what differs from
// one process to the next. What is common to all stands in the declarations.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"chervilpath/core/option"
)

// Entry is the settings of an entry instance.
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

// TLS names the files of certificates, each "" where TLS is not used.
type TLS struct {
	// CallerCert and CallerKey are shown to callers.
	CallerCert, CallerKey string
	// OperatorCert and OperatorKey are shown to operators.
	OperatorCert, OperatorKey string
	// PeerCert and PeerKey are shown to other instances, both as server and as
	// client, and PeerCA signs those of the others.
	PeerCert, PeerKey, PeerCA string
	// PlatformCA and EndpointCA sign the certificates of those.
	PlatformCA, EndpointCA string
}

// Table is the table of every setting.
var Table = option.Table{
	Title: "Settings of an entry instance",
	Doc:   "The settings file of one process, given to `chervilpath entry --settings FILE`.",
	Sections: []option.Section{
		{
			Kind: "instance",
			Doc:  "Who the instance is and where it listens.",
			Options: []option.Option{
				{Key: "name", Kind: option.Name, Required: true, Doc: "Name of the instance, unique in the fleet."},
				{Key: "failureDomain", Kind: option.Name, Required: true, Doc: "Failure domain in which the instance runs."},
				{Key: "callerAddress", Kind: option.Address, Required: true, Doc: "Where callers are served."},
				{Key: "peerAddress", Kind: option.Address, Required: true, Doc: "Where other instances are served. They reach the instance at this very address."},
				{Key: "operatorAddress", Kind: option.Address, Required: true, Doc: "Where health, metrics, status and profiles are served."},
				{Key: "operatorTokenFile", Kind: option.Text, Doc: "File with the token that operators have to show for metrics, status and profiles. Anyone may read them if it is left out. Health and readiness need none."},
				{Key: "logLevel", Kind: option.Choice, Choices: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "Lowest level that is logged."},
			},
		},
		{
			Kind: "platform",
			Doc:  "The platform's store: objects of the system's own kinds, and the list of servers.",
			Options: []option.Option{
				{Key: "url", Kind: option.URL, Required: true, Doc: "Where the platform listens."},
				{Key: "readsPerSecond", Kind: option.Number, Default: "20", Min: 0.1, Max: 2000, Doc: "This instance's part of the platform's rate of reads."},
				{Key: "writesPerSecond", Kind: option.Number, Default: "20", Min: 0.1, Max: 500, Doc: "This instance's part of the platform's rate of writes."},
			},
		},
		{
			Kind: "peers",
			Doc:  "The other entry instances.",
			Options: []option.Option{
				{Key: "seeds", Kind: option.TextList, Doc: "Peer addresses of some other instances, by which all are found."},
				{Key: "secretFile", Kind: option.Text, Required: true, Doc: "File with the secret that all instances share, at least 16 bytes."},
			},
		},
		{
			Kind: "tls",
			Doc:  "Files of certificates in PEM. A changed file counts without a restart. Without a certificate a side uses plain TCP.",
			Options: []option.Option{
				{Key: "callerCert", Kind: option.Text, Doc: "Certificate shown to callers."},
				{Key: "callerKey", Kind: option.Text, Doc: "Its key."},
				{Key: "operatorCert", Kind: option.Text, Doc: "Certificate shown to operators."},
				{Key: "operatorKey", Kind: option.Text, Doc: "Its key."},
				{Key: "peerCert", Kind: option.Text, Doc: "Certificate shown to other instances, as server and as client. It has to name the IP number of `peerAddress`."},
				{Key: "peerKey", Kind: option.Text, Doc: "Its key."},
				{Key: "peerCA", Kind: option.Text, Doc: "Authorities that sign the certificates of instances."},
				{Key: "platformCA", Kind: option.Text, Doc: "Authorities that sign the platform's certificate; those of the system if left out."},
				{Key: "endpointCA", Kind: option.Text, Doc: "Authorities that sign the certificates of endpoints; those of the system if left out."},
			},
		},
		{
			Kind: "limits",
			Doc:  "Bounds on what the instance takes and keeps.",
			Options: []option.Option{
				{Key: "maxBody", Kind: option.Size, Default: "8MB", Min: 1 << 10, Max: 64 << 20, Doc: "Largest body of a request."},
				{Key: "maxHeader", Kind: option.Size, Default: "32KB", Min: 1 << 10, Max: 1 << 20, Doc: "Largest header of a request."},
				{Key: "maxConnections", Kind: option.Number, Default: "10000", Min: 1, Max: 1000000, Doc: "Most connections of callers at once."},
				{Key: "drain", Kind: option.Duration, Default: "60s", Min: 0.1, Max: 3600, Doc: "Longest time for requests in flight to end when the instance stops."},
				{Key: "notice", Kind: option.Duration, Default: "5s", Min: 0, Max: 600, Doc: "How long a stopping instance still takes requests with its readiness failing, so that the balancer notices. It counts against `drain`."},
				{Key: "ticketLife", Kind: option.Duration, Default: "10m", Min: 1, Max: 86400, Doc: "How long a ticket can be used."},
				{Key: "remember", Kind: option.Duration, Default: "30m", Min: 1, Max: 86400, Doc: "How long the outcome of a request that runs at most once is held in memory."},
				{Key: "keys", Kind: option.Number, Default: "50000", Min: 1, Max: 10000000, Doc: "Most such requests that are remembered at once."},
				{Key: "costWindow", Kind: option.Duration, Default: "10s", Min: 0.1, Max: 3600, Doc: "Time between two records of cost. A crash loses at most two."},
			},
		},
	},
}

const minSecretBytes = 16

// ParseEntry reads the settings of an entry instance. The secret is read with
// readFile, usually os.ReadFile.
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

// parseSections reads a file by its table and returns one block for each section.
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

// sectionNames returns the names of the sections of a file.
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

// checkTLS reports keys that are of use only together.
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
			out = append(out, b.Problem(keys[0], "%s are of use only together; write all or none", strings.Join(keys, ", ")))
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

// TLS returns the files of certificates.
func (e Entry) TLS() TLS { return e.tls }

// Name returns the instance's name.
func (e Entry) Name() string { return e.name }

// FailureDomain returns the failure domain in which the instance runs.
func (e Entry) FailureDomain() string { return e.failureDomain }

// CallerAddress returns where callers are served.
func (e Entry) CallerAddress() string { return e.callerAddress }

// PeerAddress returns where other instances are served.
func (e Entry) PeerAddress() string { return e.peerAddress }

// OperatorAddress returns where operators are served.
func (e Entry) OperatorAddress() string { return e.operatorAddress }

// PlatformURL returns where the platform listens.
func (e Entry) PlatformURL() string { return e.platformURL }

// ReadsPerSecond returns the instance's part of the platform's rate of reads, a second.
func (e Entry) ReadsPerSecond() float64 { return e.readsPerSecond }

// WritesPerSecond returns the instance's part of the platform's rate of writes, a second.
func (e Entry) WritesPerSecond() float64 { return e.writesPerSecond }

// Seeds returns the peer addresses by which other instances are found.
func (e Entry) Seeds() []string { return e.seeds }

// Secret returns the secret that all instances share.
func (e Entry) Secret() string { return e.secret }

// OperatorToken returns the token that operators have to show, or "".
func (e Entry) OperatorToken() string { return e.operatorToken }

// MaxBody returns the largest body in bytes.
func (e Entry) MaxBody() int64 { return e.maxBody }

// MaxHeader returns the largest header in bytes.
func (e Entry) MaxHeader() int64 { return e.maxHeader }

// MaxConnections returns the most connections of callers at once.
func (e Entry) MaxConnections() int { return e.maxConnections }

// DrainTimeout returns the longest time for requests to end when the instance stops.
func (e Entry) DrainTimeout() time.Duration { return e.drainTimeout }

// ShutdownDelay returns how long a stopping instance still takes requests.
func (e Entry) ShutdownDelay() time.Duration { return e.shutdownDelay }

// TicketTTL returns how long a ticket can be used.
func (e Entry) TicketTTL() time.Duration { return e.ticketTTL }

// Retention returns how long outcomes are held in memory.
func (e Entry) Retention() time.Duration { return e.retention }

// MaxKeys returns the most outcomes held in memory.
func (e Entry) MaxKeys() int { return e.maxKeys }

// CostWindow returns the time between two records of cost.
func (e Entry) CostWindow() time.Duration { return e.costWindow }

// LogLevel returns the lowest level that is logged.
func (e Entry) LogLevel() string { return e.logLevel }
