package stageowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/membership"
)

// startMillis is when the daemons of the tests start.
const startMillis = 1_800_000_000_000

// daemon returns a living member that knows the routes.
func daemon(name int, milliCores uint32, term uint64) membership.Member {
	return membership.Member{
		Incarnation: fmt.Sprint("d", name),
		PeerAddr:    fmt.Sprintf("192.0.2.%d:1", name),
		State:       membership.Alive,
		Version:     startMillis,
		Revision:    1,
		Term:        term,
		Capacity: hostcapacity.Capacity{
			MilliCores: milliCores,
		},
	}
}

func view(self membership.Member, others ...membership.Member) View {
	return View{
		Self:    self,
		Running: time.Minute,
		Members: append(others, self),
		Avoided: func(string) bool { return false },
	}
}

// TestChoose guards against an owner on a host that is too small, against ownership that moves to a host of similar
// size, and against daemons that disagree because they know different things for a moment.
func TestChoose(t *testing.T) {
	small, other := daemon(1, 144, 0), daemon(2, 144, 0)
	medium, large := daemon(3, 480, 0), daemon(4, 800, 0)
	tests := []struct {
		name string
		view View
		want string
	}{
		{
			name: "large and medium hosts are alike, the one with a term stays owner",
			view: view(small, large, daemon(3, 480, 1)),
			want: "d3",
		},
		{
			name: "a small owner yields to a large host that joins",
			view: view(daemon(1, 144, 7), large),
			want: "d4",
		},
		{
			name: "the large hosts are lost",
			view: view(small, large.WithState(membership.Dead), medium.WithState(membership.Leaving), daemon(2, 144, 3)),
			want: "d2",
		},
		{
			name: "cut off alone",
			view: view(small),
			want: "d1",
		},
		{
			name: "a daemon of an older version tells no capacity and counts as a large one",
			view: view(small, daemon(5, 0, 2), large),
			want: "d5",
		},
		{
			name: "no daemon knows the routes, the first address on a large host is taken",
			view: View{
				Self:    small.WithProgress(0, 0),
				Running: time.Second,
				Addresses: []Address{
					{
						Addr:     other.PeerAddr,
						Capacity: other.Capacity,
					},
					{
						Addr:     large.PeerAddr,
						Capacity: large.Capacity,
					},
				},
				Avoided: func(string) bool { return false },
			},
			want: large.PeerAddr,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, Choose(test.view).Incarnation)
		})
	}
}

// TestChooseAvoidsAll guards against a daemon without any owner when all others are avoided.
func TestChooseAvoidsAll(t *testing.T) {
	v := view(daemon(1, 144, 0), daemon(4, 800, 1))
	v.Avoided = func(name string) bool { return name != "d1" }
	require.Equal(t, "d1", Choose(v).Incarnation)
}
