package http1

import (
	"bytes"
	"fmt"
)

const (
	// statusLinePrefix begins each status line of HTTP/1. The minor version and a status
	// of three digits follow it.
	statusLinePrefix = "HTTP/1."
	statusLineBytes  = len("HTTP/1.1 200")

	// maxQuotedBytes limits how much of a broken line an error quotes.
	maxQuotedBytes = 64
)

// headChecker checks the heads of one response line by line: those of interim responses and
// the final one. Its zero value checks nothing.
type headChecker struct {
	// open is set until the end of the final head.
	open bool
	// inFields is set after the status line, and interim if that is one of an interim response.
	inFields, interim bool
	// partial is the beginning of a line whose end has not come. net/http limits the
	// size of a head, and so that of a line.
	partial []byte
	err     error
}

// begin prepares for the next response.
func (h *headChecker) begin() {
	*h = headChecker{open: true, partial: h.partial[:0]}
}

// check checks the next bytes of the connection as far as they belong to a head. Once it has
// returned an error, it returns that one for the rest of the response.
func (h *headChecker) check(p []byte) error {
	for h.open && h.err == nil && len(p) > 0 {
		line, rest, ok := bytes.Cut(p, []byte("\n"))
		if !ok {
			h.partial = append(h.partial, p...)
			return nil
		}
		if len(h.partial) > 0 {
			h.partial = append(h.partial, line...)
			line = h.partial
		}
		h.err = h.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		h.partial, p = h.partial[:0], rest
	}
	return h.err
}

func (h *headChecker) checkLine(line []byte) error {
	switch {
	case !h.inFields:
		if !isStatusLine(line) {
			return fmt.Errorf("%w: status line %.*q", ErrMalformed, maxQuotedBytes, line)
		}
		h.inFields, h.interim = true, line[len(statusLinePrefix)+2] == '1'
	case len(line) == 0:
		h.inFields, h.open = false, h.interim
	}
	return nil
}

// isStatusLine reports whether a line begins a response to a request that asks for no upgrade:
// its status is in the range from 100 to 599 and not 101. A status line may lack the reason, as
// net/http allows.
func isStatusLine(line []byte) bool {
	if len(line) < statusLineBytes || !bytes.HasPrefix(line, []byte(statusLinePrefix)) {
		return false
	}
	version, space, status, reason := line[len(statusLinePrefix)], line[len(statusLinePrefix)+1], line[len(statusLinePrefix)+2:statusLineBytes], line[statusLineBytes:]
	return isDigit(version) && space == ' ' && '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2]) &&
		string(status) != "101" && (len(reason) == 0 || reason[0] == ' ' && isText(reason))
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether all bytes are allowed in a reason phrase or the value of a field.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
