package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Keys of the case: two of the only tenant, and one that no manifest ever holds.
const (
	keyFirst   = "9dnn2ctnfzs989anu6ws"
	keySecond  = "jnbanfqasnmgkcuyj8pj"
	keyUnknown = "zzzzzzzzzzzzzzzzzzzz"
)

// revokeGap is the time between the two changes that take away a key each.
const revokeGap = 1500 * time.Millisecond

// configBound is the bound config-ms.
const configBound = 2 * time.Second

// lastKey plays an installation with one tenant, whose two keys are taken away one after the other.
func lastKey(w *world) ([]string, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	s := plainServer(w, "h1", 20*time.Millisecond)
	if err := s.start(); err != nil {
		return nil, err
	}
	s.register(st, "ready")
	st.put(topicOperator, "config", oneTenant(7, keyFirst, keySecond))
	d, err := w.start("edge-1", "be-south-a", st)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Timeout: 10 * time.Second,
	}
	ask := func(id, key string) (int, error) {
		status, _, err := plainRequest(client, d.front, http.MethodPost, id, key)
		w.line("request %s with key %q: status %d, error %v", id, key, status, err)
		return status, err
	}
	if status, err := ask("a001", keySecond); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("request a001: status %d, error %v", status, err)
	}
	if status, err := ask("a002", keyUnknown); err != nil || status != http.StatusUnauthorized {
		return nil, fmt.Errorf("request a002: status %d, error %v", status, err)
	}
	if w.trouble {
		st.put(topicOperator, "config", oneTenant(9, keySecond))
		w.line("the store confirms version 9, in which tenant bozi300 has one key")
		time.Sleep(revokeGap)
		st.put(topicOperator, "config", oneTenant(12))
		w.line("the store confirms version 12, in which tenant bozi300 has no key")
		time.Sleep(2 * configBound)
	}
	var broken []string
	for n := range 20 {
		status, err := ask(fmt.Sprintf("b%03d", n), keyUnknown)
		if err != nil {
			return nil, err
		}
		if status == http.StatusOK {
			broken = append(broken, fmt.Sprintf("ROUTE: request b%03d runs with key %q, which no manifest ever held", n, keyUnknown))
		}
		if !w.trouble {
			continue
		}
		status, err = ask(fmt.Sprintf("c%03d", n), keySecond)
		if err == nil && status == http.StatusOK {
			broken = append(broken, fmt.Sprintf("CONFIG: request c%03d runs with a key that was taken away %v before", n, 2*configBound))
		}
	}
	return broken, nil
}

// oneTenant returns a manifest with one tenant that has some keys.
func oneTenant(version int, keys ...string) []byte {
	list := []byte("[]")
	if len(keys) > 0 {
		list, _ = json.Marshal(keys)
	}
	return plainManifest(version, "non_idempotent", fmt.Sprintf(`,"tenants":[{"name":"bozi300","api-keys":%s,"priority":1}]`, list))
}
