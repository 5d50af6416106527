// Package docs_test keeps the pages that are made from tables true.
package docs_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/settings"
	"chervilpath/core/trace"
)

var update = flag.Bool("update", false, "write the pages anew")

func TestPagesAreMadeFromTheirTables(t *testing.T) {
	pages := map[string]string{
		"DECLARATIONS.md":  declare.Table.Markdown(),
		"SETTINGS.md":      settings.Table.Markdown(),
		"SETTINGS-SITE.md": settings.SiteTable.Markdown(),
		"OUTCOMES.md":      trace.ExpectationTable.Markdown(),
		"ERRORS.md":        errorsPage(),
	}
	for name, want := range pages {
		if *update {
			if err := os.WriteFile(name, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		got, err := os.ReadFile(name)
		if err != nil || string(got) != want {
			t.Errorf("docs/%s is stale (%v); run go test ./docs -update", name, err)
		}
	}
}

func errorsPage() string {
	var b strings.Builder
	b.WriteString("# Errors\n\n<!-- Made from the table of error kinds by `go test ./docs -update`; do not edit. -->\n\n")
	b.WriteString("Every error that a caller, a peer or an operator gets is of one of these kinds. \"Ran\" is what is said if nothing\nmore is known of the request; \"retry\" says whether the same request may be sent again. A request of a kind that is\nnot idempotent needs a new key then, since a refusal is final for its key.\n\nThe statuses 408, 421, 429 and 503 promise that a request has not run and never will. Where a request that must not\nrun twice may have run at an endpoint, the status is 502 in their place. At the pipelines' interface, an attempt that is refused\nbefore it runs keeps its status, also where an earlier attempt with its key may have run and \"ran\" is unknown.\n\nAn answer whose head HTTP/1.1 does not allow, or whose connection fails before its end, is a failure of its server,\nwhatever it says. Where no retry is allowed or left, it is reported as `endpointFailed`, or as `answerIncomplete` if\nthe head was sound and the rest is missing at the pipelines' interface, or if a part of a stream has been passed on. A\ncaller on a route who has had a part sees its connection closed without the end of the stream, and no status.\n\n")
	b.WriteString("| kind | HTTP | twirp | log level | ran | retry |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range fault.Kinds() {
		a := k.Properties()
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %v |\n", a.Name, a.HTTPStatus, a.TwirpCode, a.LogLevel, a.DefaultRan, a.Retryable)
	}
	return b.String()
}

var link = regexp.MustCompile(`\]\(([^)#]+)\)`)

func TestLinksOfPagesExist(t *testing.T) {
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	pages := []string{"../README.md", "../CONTRIBUTING.md"}
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".md") {
			pages = append(pages, e.Name())
		}
	}
	for _, page := range pages {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Error(err)
			continue
		}
		dir := page[:strings.LastIndex(page, "/")+1]
		for _, m := range link.FindAllStringSubmatch(string(data), -1) {
			if strings.HasPrefix(m[1], "http") {
				continue
			}
			if _, err := os.Stat(dir + m[1]); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
			}
		}
	}
}
