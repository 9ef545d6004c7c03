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
	// Versions are those that upstreams of the service had in the time in which the stream can have begun.
	Versions []string
	// Complete reports that the daemon has observed all upstreams that were listed in that time.
	Complete bool
}

// UnknownError reports that the version at which a stream began is not known, so that it can't go on here.
type UnknownError struct {
	Service string
	// Versions are those at which the stream can have begun.
	Versions []string
}

// Error implements error.
func (e *UnknownError) Error() string {
	if len(e.Versions) > 1 {
		return fmt.Sprintf("the software version at which the stream began is not known: service %s has had the versions %s",
			e.Service, strings.Join(e.Versions, ", "))
	}
	return fmt.Sprintf("the software version at which the stream began is not known: not all versions that service %s has had are known", e.Service)
}

// Decide returns the origin of a stream, from what this daemon and the peers that have answered know. If none of them
// knows the stream, it can go on if there has been only one version in the time in which it can have begun, and one
// of them has observed all of that time. The error is an *UnknownError.
func Decide(service string, own Answer, peers []Answer) (Origin, error) {
	all := append([]Answer{own}, peers...)
	for _, a := range all {
		if a.Known {
			return a.Origin, nil
		}
	}
	versions := unite(all)
	complete := slices.ContainsFunc(all, func(a Answer) bool { return a.Complete })
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

// DecideUnnamed returns the origin of a stream whose caller does not say which request began it, so that no daemon can
// know it. It goes on unless several versions have been seen. The error is an *UnknownError.
func DecideUnnamed(service string, own Answer) (Origin, error) {
	if len(own.Versions) != 1 {
		return Origin{}, &UnknownError{
			Service:  service,
			Versions: own.Versions,
		}
	}
	return Origin{
		Service: service,
		Version: own.Versions[0],
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
