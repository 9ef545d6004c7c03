//go:build !race

package stagework

const raceEnabled = false
