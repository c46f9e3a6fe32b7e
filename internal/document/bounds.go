package document

// Bounds of the figures of a document, as the schema has them. They keep products and sums of the figures in range.
const (
	MaxBodyBytes   int64   = 1 << 40
	MaxWeight      int64   = 1_000_000_000
	MaxSlots       int64   = 65536
	MaxTokens      int64   = 1 << 40
	MaxSteps       int64   = 1_000_000
	MaxFigure      float64 = 1e9
	MinPrefillRate float64 = 1e-6
	MaxPrefillRate float64 = 1e6
)

// MaxTextBytes is the size in which the document of any published configuration fits, in bytes. A value of 1 MiB may list 260,000
// keys of one character, each of which has a digest of 64 digits in the document.
const MaxTextBytes = 24 << 20
