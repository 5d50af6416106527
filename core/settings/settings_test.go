package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"chervilpath/core/settings"
)

const validSettings = `[instance]
name = entry-1
failureDomain = midrand
callerAddress = 127.0.0.1:8080
peerAddress = 127.0.0.1:8081
operatorAddress = 127.0.0.1:8082
[platform]
url = http://127.0.0.1:9000
[peers]
seeds = 127.0.0.1:8181, 127.0.0.1:8281
secretFile = secret
`

func secretReader(text string) func(string) ([]byte, error) {
	return func(string) ([]byte, error) { return []byte(text), nil }
}

func TestParseEntry(t *testing.T) {
	e, err := settings.ParseEntry("e.ini", []byte(validSettings), secretReader("0123456789abcdef\n"))
	if err != nil {
		t.Fatal(err)
	}
	if e.Name() != "entry-1" || e.DrainTimeout() != time.Minute || len(e.Seeds()) != 2 || e.Secret() != "0123456789abcdef" {
		t.Errorf("settings: %+v", e)
	}
}

func TestParseEntryReportsProblems(t *testing.T) {
	_, err := settings.ParseEntry("e.ini", []byte("[instance]\nname = a\n"), secretReader("0123456789abcdef"))
	for _, want := range []string{"e.ini:1: instance failureDomain: the key is missing", "instance peerAddress"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
	_, err = settings.ParseEntry("e.ini", []byte(strings.Split(validSettings, "[peers]")[0]), secretReader(""))
	if err == nil || !strings.Contains(err.Error(), "peers secretFile") {
		t.Errorf("without the section [peers]: %v", err)
	}
	_, err = settings.ParseEntry("e.ini", []byte(validSettings+"[tls]\npeerCert = a.pem\n"), secretReader("0123456789abcdef"))
	if err == nil || !strings.Contains(err.Error(), "e.ini:13: tls peerCert: peerCert, peerKey, peerCA must be set together") {
		t.Errorf("with a certificate without its key: %v", err)
	}
	_, err = settings.ParseEntry("e.ini", []byte(validSettings), secretReader("short"))
	if err == nil || strings.Contains(err.Error(), "short\"") || !strings.Contains(err.Error(), "e.ini:11: peers secretFile") {
		t.Errorf("with a short secret: %v", err)
	}
	_, err = settings.ParseEntry("e.ini", []byte(validSettings), func(string) ([]byte, error) { return nil, errors.New("no such file") })
	if err == nil {
		t.Error("a missing secret file was accepted")
	}
}
