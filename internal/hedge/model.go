package hedge

const (
	// modelWeight is the weight of the newest time in the model.
	modelWeight = 1.0 / 256
	// maxSurprise bounds a measured time as a multiple of the expected one in the model, so that rare slow answers
	// don't change what is expected of the others. Their ratio is recorded as it is.
	maxSurprise = 4
	// minShareOfMean bounds an expected time from below, as a share of the mean.
	minShareOfMean = 0.05
)

// model is a linear regression of the time in seconds on the size of the prompt in tokens, in which old times fade.
// Its zero value is empty.
type model struct {
	n               int
	x, y, xx, xy, w float64 // weighted sums and their weight
}

// add adds a measured time.
func (m *model) add(tokens, seconds float64, trusted bool) {
	if trusted {
		seconds = min(seconds, maxSurprise*m.predict(tokens))
	}
	const keep = 1 - modelWeight
	m.n++
	m.w = keep*m.w + modelWeight
	m.x = keep*m.x + modelWeight*tokens
	m.y = keep*m.y + modelWeight*seconds
	m.xx = keep*m.xx + modelWeight*tokens*tokens
	m.xy = keep*m.xy + modelWeight*tokens*seconds
}

// predict returns the expected time in seconds. Longer prompts never take less.
func (m *model) predict(tokens float64) float64 {
	if m.w == 0 {
		return 0
	}
	meanX, meanY := m.x/m.w, m.y/m.w
	variance := m.xx/m.w - meanX*meanX
	slope := 0.0
	if variance > 1 { // Prompts of nearly one size tell nothing of the slope.
		slope = max((m.xy/m.w-meanX*meanY)/variance, 0)
	}
	return max(meanY+slope*(tokens-meanX), minShareOfMean*meanY)
}
