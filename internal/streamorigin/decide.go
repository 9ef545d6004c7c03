package streamorigin

import (
	"fmt"
	"slices"
	"strings"
)

// Answer is what one daemon knows of a stream.
type Answer struct {
	// Known reports that the daemon knows the origin of the stream.
	Known  bool
	Origin Origin
	// Versions are those that upstreams of the service had in the time in which the stream can have begun, as far as the
	// daemon knows.
	Versions []string
	// Complete reports that the daemon has observed all upstreams that were listed in that time.
	Complete bool
	// Recorded reports that Versions has all that are recorded. Answers of peers don't say so.
	Recorded bool
}

// UnknownError reports that the version at which a stream began is not known, so that it can't go on here.
type UnknownError struct {
	Service string
	// Versions are those at which the stream can have begun.
	Versions []string
	// Cause is why no more is known, if that is an error.
	Cause error
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *UnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("the software version at which the stream began is not known: %v", e.Cause)
	}
	if len(e.Versions) > 1 {
		return fmt.Sprintf("the software version at which the stream began is not known: service %s has had the versions %s",
			e.Service, strings.Join(e.Versions, ", "))
	}
	return fmt.Sprintf("the software version at which the stream began is not known: not all versions that service %s has had are known", e.Service)
}

// FindKnown returns the origin of a stream that one of several daemons knows, and false if none does.
func FindKnown(answers []Answer) (Origin, bool) {
	for _, a := range answers {
		if a.Known {
			return a.Origin, true
		}
	}
	return Origin{}, false
}

// DecideByRecords returns the origin of a stream that nobody knows. own is the answer of this daemon after it has read all
// that was recorded and listed until the caller came, peers are those of others. The stream can go on if there was only
// one version at which it can have begun. The error is an *UnknownError.
func DecideByRecords(service string, own Answer, peers []Answer) (Origin, error) {
	return decideByVersions(service, own, peers, own.Recorded)
}

// DecideByPeers is DecideByRecords where nothing is recorded. All peers that were asked must have answered, and one of
// all must have observed all of the time in which the stream can have begun: a daemon that reaches nobody may not know
// yet that there is another version. unanswered is the number of peers that did not answer.
func DecideByPeers(service string, own Answer, peers []Answer, unanswered int) (Origin, error) {
	complete := slices.ContainsFunc(append([]Answer{own}, peers...), func(a Answer) bool { return a.Complete })
	return decideByVersions(service, own, peers, complete && unanswered == 0 && len(peers) > 0)
}

// decideByVersions returns the origin of a stream if all versions are known and there is only one.
func decideByVersions(service string, own Answer, peers []Answer, complete bool) (Origin, error) {
	versions := unite(append(slices.Clone(peers), own))
	if len(versions) != 1 || !complete {
		return Origin{}, &UnknownError{
			Service:  service,
			Versions: versions,
		}
	}
	return Origin{
		Service: service,
		Version: versions[0],
	}, nil
}

// unite returns the versions of all answers, sorted.
func unite(answers []Answer) []string {
	var versions []string
	for _, a := range answers {
		versions = append(versions, a.Versions...)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}
