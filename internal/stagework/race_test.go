//go:build race

package stagework

const raceEnabled = true
