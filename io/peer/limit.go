package peer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
)

// The sizes of the largest messages, of calls and of replies, by call. An address of an
// instance that is gone may be in use again by a server that sends without end.
const (
	// maxMessageBytes is for calls that are not listed below: members, handles of results,
	// and what they need.
	maxMessageBytes = 1 << 20

	// maxFollowBytes holds a compressed configuration and the compressed list of servers.
	maxFollowBytes = 8 << 20

	// maxRecordsBytes holds declarations, requests of callers or records of outcomes.
	maxRecordsBytes = 16 << 20

	// maxErrorBytes is for replies that report an error.
	maxErrorBytes = 64 << 10
)

var messageBytes = map[string]int64{
	"Follow": maxFollowBytes, "Serve": maxRecordsBytes, "Root": maxRecordsBytes, "Fragment": maxRecordsBytes, "HandOver": maxRecordsBytes,
}

// errTooLarge is wrapped by the errors of replies that are larger than their call can have.
var errTooLarge = errors.New("the reply is too large")

// messageLimit returns the size of the largest message of the call at a path.
func messageLimit(urlPath string) int64 {
	if n, ok := messageBytes[path.Base(urlPath)]; ok {
		return n
	}
	return maxMessageBytes
}

// limitReply makes reading a reply fail once it is larger than its call can have. It closes a
// reply that says so itself, and returns an error.
func limitReply(resp *http.Response, urlPath string) error {
	limit := messageLimit(urlPath)
	if resp.StatusCode != http.StatusOK {
		limit = maxErrorBytes
	}
	if resp.ContentLength > limit {
		_ = resp.Body.Close()
		return fmt.Errorf("%w: %d bytes, the limit is %d", errTooLarge, resp.ContentLength, limit)
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, limit: limit, left: limit}
	return nil
}

// limitedBody is a body that may have up to limit bytes.
type limitedBody struct {
	io.ReadCloser
	limit, left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	// One byte more than is left tells a body at the limit from one above it.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n, b.left = int(b.left), 0
		return n, fmt.Errorf("%w: more than %d bytes", errTooLarge, b.limit)
	}
	b.left -= int64(n)
	return n, err
}
