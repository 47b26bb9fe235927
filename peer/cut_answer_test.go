package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"golang.org/x/sync/errgroup"
)

// answerPing answers a call with a complete message, but without the trailers that end a response.
func answerPing(conn net.Conn) {
	framer := http2.NewFramer(conn, conn)
	_, _ = io.CopyN(io.Discard, conn, int64(len(http2.ClientPreface)))
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if _, isCall := frame.(*http2.DataFrame); !isCall {
			continue
		}
		var header bytes.Buffer
		encoder := hpack.NewEncoder(&header)
		_ = encoder.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
		_ = encoder.WriteField(hpack.HeaderField{Name: "content-type", Value: "application/grpc+cbor"})
		stream := frame.Header().StreamID
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: header.Bytes(), EndHeaders: true})
		_ = framer.WriteData(stream, false, []byte{0, 0, 0, 0, 1, 0xa0}) // an empty map in CBOR
		return
	}
}

// Guards against accepting a peer's incomplete response, or bytes that are no gRPC response.
func TestCutAnswerOfPeer(t *testing.T) {
	for name, answer := range map[string]func(conn net.Conn){
		"message without trailers": answerPing,
		"no gRPC":                  func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nanswer") },
		"without end": func(conn net.Conn) {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(conn, "no answer\r\n")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			var group errgroup.Group
			group.Go(func() error {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return nil
					}
					answer(conn)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}
			})
			pool := NewPool(PoolConfig{Clock: clockwork.NewRealClock()})
			t.Cleanup(func() {
				pool.Close()
				_ = listener.Close()
				_ = group.Wait()
			})
			conn, err := pool.Conn(netip.MustParseAddrPort(listener.Addr().String()))
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			is.True(SendPing(ctx, conn) != nil)
		})
	}
}
