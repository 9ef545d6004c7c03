package engine

import (
	"github.com/go-faster/jx"

	"sequoiafork/internal/wire/upstreamapi"
)

// encodeChunk encodes a chunk, for which the generated code has no encoder
// because the schema leaves the response of a stream raw.
func encodeChunk(c *upstreamapi.CompletionChunk) []byte {
	e := &jx.Encoder{}
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(c.ID) })
		e.Field("token_index", func(e *jx.Encoder) { e.Int(c.TokenIndex) })
		e.Field("choices", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, choice := range c.Choices {
					encodeChoice(e, choice)
				}
			})
		})
		if usage, ok := c.Usage.Get(); ok {
			e.Field("usage", func(e *jx.Encoder) { encodeUsage(e, usage) })
		}
		if load, ok := c.Load.Get(); ok {
			e.Field("load", load.Encode)
		}
	})
	return e.Bytes()
}

func encodeChoice(e *jx.Encoder, c upstreamapi.CompletionChoice) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("index", func(e *jx.Encoder) { e.Int(c.Index) })
		e.Field("text", func(e *jx.Encoder) { e.Str(c.Text) })
		if reason, ok := c.FinishReason.Get(); ok {
			e.Field("finish_reason", func(e *jx.Encoder) { e.Str(reason) })
		}
	})
}

func encodeUsage(e *jx.Encoder, u upstreamapi.CompletionUsage) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("prompt_tokens", func(e *jx.Encoder) { e.Int(u.PromptTokens) })
		e.Field("completion_tokens", func(e *jx.Encoder) { e.Int(u.CompletionTokens) })
		e.Field("cached_tokens", func(e *jx.Encoder) { e.Int(u.CachedTokens) })
	})
}
