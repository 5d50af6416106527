package peer_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilpath/io/peer"
	"chervilpath/io/peer/peerpb"
	"chervilpath/io/standin"
	"chervilpath/io/upstream"
)

// Guards against a broken reply of another instance that is taken for a placement.
func TestBrokenReplyIsAnError(t *testing.T) {
	t.Parallel()
	data, err := proto.Marshal(&peerpb.PlaceReply{Server: "e-1"})
	if err != nil {
		t.Fatal(err)
	}
	for name, head := range map[string]string{
		"status 000":          "HTTP/1.1 000 OK\r\nContent-Type: application/protobuf\r\n",
		"blank in a name":     "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nX Name: 1\r\n",
		"tab before a name":   "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nX-Name: 1\r\n\tX-Name: 2\r\n",
		"length with a blank": "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length : 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(data), data)
			server, err := standin.NewRaw(answer, len(answer))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			clients := peer.NewClients("", upstream.NewTransport(), nil, time.Now)
			t.Cleanup(clients.CloseIdle)
			for range 20 {
				if reply, err := clients.For(server.Address()).Place(t.Context(), &peerpb.PlaceRequest{}); err == nil {
					t.Fatalf("the reply %v was accepted", reply)
				}
			}
		})
	}
}
