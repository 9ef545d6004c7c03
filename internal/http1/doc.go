// Package http1 reads the responses of HTTP/1.1 servers strictly: a response of a server that is in trouble must not look
// like one that is whole.
//
// A Conn returns io.EOF only if its peer has ended the connection in order. net/http takes io.EOF for the end of a body
// without a length, also if the connection was reset while the request was still being written. A Conn also checks the
// head of each response, of which net/http lets pass what HTTP/1.1 does not allow. A Transport is an http.RoundTripper on
// such connections:
//
//	client := &http.Client{
//		Transport: http1.New(http1.Config{
//			Base: &http.Transport{},
//		}),
//	}
package http1
