package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// plainServer is a server of a service whose answers are no streams. A run takes work.
func plainServer(w *world, id string, work time.Duration) *server {
	s := &server{
		service: "hutlog",
		zone:    "be-south-a",
		id:      id,
	}
	s.handle = func(r *http.Request, _ []byte) answer {
		request := r.Header.Get(headerID)
		w.line("%s runs request %s, tenant %q", id, request, r.Header.Get(headerTenant))
		time.Sleep(work)
		w.line("%s has run request %s", id, request)
		return answer{
			status: http.StatusOK,
			header: http.Header{
				headerStamp: {id + ".1"},
			},
			body: []byte("done: " + request),
		}
	}
	return s
}

// plainManifest returns a manifest with one route to the plain service.
func plainManifest(version int, kind, tenants string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-log","host":"hut.example","path-prefix":"/log/","type":%q,`+
		`"timeout-ms":6000,"goal-ms":300,"priority":2,"service":"hutlog","attempts":1,"public":false,"sticky":false,"resumable":false}],`+
		`"services":[{"name":"hutlog","health-path":"/healthz","max-conns":110}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}%s}`,
		version, kind, tenants)
}

// plainRequest sends a request and returns the status and the body of its answer.
func plainRequest(client *http.Client, addr, method, id, key string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+addr+"/log/1", strings.NewReader(""))
	if err != nil {
		return 0, "", err
	}
	req.Host = "hut.example"
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, "6000")
	if key != "" {
		req.Header.Set(headerKey, key)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}
