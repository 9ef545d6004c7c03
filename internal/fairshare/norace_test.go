//go:build !race

package fairshare_test

const raceEnabled = false
