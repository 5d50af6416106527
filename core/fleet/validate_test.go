package fleet_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"chervilpath/core/fleet"
)

// Guards against values that no server can need and addresses that cannot be called, which
// a writer other than a server left in an entry.
func TestValidateRefusesWhatNoServerNeeds(t *testing.T) {
	sound := fleet.Server{ID: "i-7f3a91c2", Service: "desk", Address: "10.1.64.9:8080", Zone: "midrand", Build: "v1", Slots: 8, Cold: time.Second, Born: 1_790_000_000_000, Sequence: 7, Revision: 3}
	long := strings.Repeat("x", 1000)
	tests := map[string]struct {
		change func(s *fleet.Server)
		valid  bool
	}{
		"sound":                    {func(s *fleet.Server) {}, true},
		"no zone, build and start": {func(s *fleet.Server) { s.Zone, s.Build, s.Born, s.Sequence, s.Cold = "", "", 0, 0, 0 }, true},
		"its slow time is over":    {func(s *fleet.Server) { s.Cold = -time.Second }, true},
		"loopback":                 {func(s *fleet.Server) { s.Address = "127.0.0.1:1" }, true},
		"the last port":            {func(s *fleet.Server) { s.Address = "10.0.0.1:65535" }, true},
		"IPv6":                     {func(s *fleet.Server) { s.Address = "[2001:db8::1]:80" }, true},
		"many slots":               {func(s *fleet.Server) { s.Slots = 10_000 }, true},
		"no slots":                 {func(s *fleet.Server) { s.Slots = 0 }, false},
		"slots 2^53":               {func(s *fleet.Server) { s.Slots = 1 << 53 }, false},
		"slots at the end":         {func(s *fleet.Server) { s.Slots = math.MaxInt64 }, false},
		"slots below 0":            {func(s *fleet.Server) { s.Slots = -1 }, false},
		"slow for ever":            {func(s *fleet.Server) { s.Cold = math.MaxInt64 }, false},
		"slow time at the end":     {func(s *fleet.Server) { s.Cold = math.MinInt64 }, false},
		"born at the end":          {func(s *fleet.Server) { s.Born = math.MaxInt64 }, false},
		"born below 0":             {func(s *fleet.Server) { s.Born = math.MinInt64 }, false},
		"sequence at the end":      {func(s *fleet.Server) { s.Sequence = math.MaxInt64 }, false},
		"sequence below 0":         {func(s *fleet.Server) { s.Sequence = -1 }, false},
		"no ID":                    {func(s *fleet.Server) { s.ID = "" }, false},
		"long ID":                  {func(s *fleet.Server) { s.ID = long }, false},
		"line break in the ID":     {func(s *fleet.Server) { s.ID = "i-1\r\nHost: x" }, false},
		"no ASCII in the ID":       {func(s *fleet.Server) { s.ID = "i-\u00e9" }, false},
		"no service":               {func(s *fleet.Server) { s.Service = "" }, false},
		"long service":             {func(s *fleet.Server) { s.Service = long }, false},
		"long zone":                {func(s *fleet.Server) { s.Zone = long }, false},
		"long build":               {func(s *fleet.Server) { s.Build = long }, false},
	}
	for name, address := range map[string]string{
		"no address": "", "no port": "10.0.0.1", "an empty port": "10.0.0.1:", "port 0": "10.0.0.1:0", "port 65536": "10.0.0.1:65536", "port 99999": "10.0.0.1:99999",
		"port -1": "10.0.0.1:-1", "a port by name": "10.0.0.1:http", "a space": "10.0.0.1 :80", "a space before": " 10.0.0.1:80", "a line break": "10.0.0.1:80\nx",
		"a host name": "server.example:80", "no host": ":80", "a path": "10.0.0.1:80/x", "a user": "u@10.0.0.1:80", "zeros before the port": "10.0.0.1:0080",
		"zeros in the host": "10.0.0.01:80", "another form": "[::ffff:10.0.0.1]:080", "any address": "0.0.0.0:80", "any IPv6 address": "[::]:80", "multicast": "224.0.0.1:80",
		"a long one": long + ":80", "short of an octet": "10.0.1:80",
	} {
		tests[name] = struct {
			change func(s *fleet.Server)
			valid  bool
		}{func(s *fleet.Server) { s.Address = address }, false}
	}
	for name, tt := range tests {
		s := sound
		tt.change(&s)
		err := s.Validate()
		if (err == nil) != tt.valid {
			t.Errorf("%s: error %v, want valid: %v", name, err, tt.valid)
		}
		if err != nil && len(err.Error()) > 500 {
			t.Errorf("%s: the error has %d bytes", name, len(err.Error()))
		}
	}
}
