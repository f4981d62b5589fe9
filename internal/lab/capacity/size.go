// Package capacity works out, from measured slopes, what each role costs at a
// given size: state, messages, processor time and memory, against the budgets.
// It is arithmetic only; internal/lab/slopes measures.
package capacity

import (
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/side"
)

// Size is a system and its load.
type Size struct {
	Name          string
	Entries       int
	Sides         int
	Domains       int
	Regions       int
	Models        int
	Workspaces    int
	RequestsPerS  float64 // online
	TokensPerS    float64
	ItemsPerS     float64 // batch
	JobsPerDay    float64
	ChangesPerDay float64 // of the configuration
	LossesPerDay  float64 // hosts that fail
	RestartsPerDay,
	TokenGapS float64 // seconds between two tokens of a stream

	// What the target leaves open; assumed.
	PromptKiB   float64
	ItemBytes   float64 // of one item's body
	ResultBytes float64 // of one item's result
	BacklogDays float64 // of accepted items that wait

	Settings
}

// Settings are those of the product that figures hang on.
type Settings struct {
	MaxSides      int // sessions of one entry; 0 is all
	Shards        int
	CommitEvery   time.Duration
	LoadEvery     time.Duration
	HostListEvery time.Duration
	ResultsFor    time.Duration
	MaxHeldBytes  float64
}

// Defaults are the product's defaults.
func Defaults() Settings {
	return Settings{
		Shards:        16,
		CommitEvery:   100 * time.Millisecond,
		LoadEvery:     50 * time.Millisecond,
		HostListEvery: time.Second,
		ResultsFor:    72 * time.Hour,
		MaxHeldBytes:  64 << 20,
	}
}

const (
	secondsPerDay = 24 * 60 * 60
	mebi          = 1 << 20
	kibi          = 1 << 10
)

// Target is the size of two years from now with the product's defaults, but for the
// subset of sides, which all-to-all sessions rule out.
func Target() Size {
	z := Size{
		Name: "target", Entries: 620, Sides: 1700, Domains: 20, Regions: 6, Models: 14, Workspaces: 7900,
		RequestsPerS: 7900, TokensPerS: 2.9e6, ItemsPerS: 1.9e9 / secondsPerDay, JobsPerDay: 12_000,
		ChangesPerDay: 6900, LossesPerDay: 45, RestartsPerDay: 350, TokenGapS: 0.063,
		PromptKiB: 4, ItemBytes: 1024, ResultBytes: 1024, BacklogDays: 1,
		Settings: Defaults(),
	}
	z.MaxSides = TargetMaxSides
	return z
}

// Tuned is the target size with what settings alone can do about the budgets that are missed.
func Tuned() Size {
	z := Target()
	z.Name = "target, settings tuned"
	z.MaxSides = 64
	z.Shards = 128
	z.CommitEvery = time.Second
	z.LoadEvery = 5 * time.Second
	z.HostListEvery = time.Minute
	return z
}

// TargetMaxSides is the subset of sides at the target size.
const TargetMaxSides = 60

// Kelpie is today's size of the one user: three domains, nine drafting and three callback-app
// runners. Loads are assumed.
func Kelpie() Size {
	return Size{
		Name: "Kelpie", Entries: 3, Sides: 12, Domains: 3, Regions: 1, Models: 2, Workspaces: 10,
		RequestsPerS: 50, TokensPerS: 5000, ItemsPerS: 20, JobsPerDay: 20,
		ChangesPerDay: 20, LossesPerDay: 0.1, RestartsPerDay: 2, TokenGapS: 0.04,
		PromptKiB: 4, ItemBytes: 1024, ResultBytes: 1024, BacklogDays: 1,
		Settings: Defaults(),
	}
}

// Tuulai is today's size of the other: four domains, nine drafting and four lookup runners. Loads
// are assumed.
func Tuulai() Size {
	z := Kelpie()
	z.Name, z.Entries, z.Sides, z.Domains = "Tuulai", 4, 13, 4
	z.RequestsPerS, z.ItemsPerS = 30, 30
	return z
}

// Named returns the size called target, tuned, kelpie or tuulai. Error: errs.BadRequest.
func Named(name string) (Size, error) {
	switch name {
	case "target":
		return Target(), nil
	case "tuned":
		return Tuned(), nil
	case "kelpie":
		return Kelpie(), nil
	case "tuulai":
		return Tuulai(), nil
	}
	return Size{}, errs.Newf(errs.BadRequest, "no size is called %q; there are target, tuned, kelpie and tuulai", name)
}

// perEntry is how many sessions an entry keeps, perSide how many a side has.
func (z *Size) perEntry() float64 {
	if z.MaxSides == 0 || z.MaxSides > z.Sides {
		return float64(z.Sides)
	}
	return float64(z.MaxSides)
}

func (z *Size) perSide() float64 {
	return z.perEntry() * float64(z.Entries) / float64(z.Sides)
}

func (z *Size) hosts() float64 { return float64(z.Entries + z.Sides) }

// streams is how many online streams are open at once, all tokens being online ones.
func (z *Size) streams() float64 { return z.TokensPerS * z.TokenGapS }

func (z *Size) changesPerS() float64 { return z.ChangesPerDay / secondsPerDay }

func (z *Size) itemsPerShard() float64 { return z.ItemsPerS / float64(z.Shards) }

// loadsPerS is how often a side whose load changes all the time reports on each session.
func (z *Size) loadsPerS() float64 {
	return perSecond(side.LoadPace(z.LoadEvery, int(z.perSide())))
}

const (
	blocksPerKiB = 4  // blocks of a prompt that are hashed
	maxPrefixes  = 64 // in one report
)

// prefixesPerReport is how many new hashes a report carries where no two prompts are alike.
func (z *Size) prefixesPerReport() float64 {
	perS := z.RequestsPerS / float64(z.Sides) * z.PromptKiB * blocksPerKiB
	return min(maxPrefixes, perS/z.loadsPerS())
}

// finishedPerShard is how many finished items a shard's owner keeps the places of.
func (z *Size) finishedPerShard() float64 { return z.itemsPerShard() * z.ResultsFor.Seconds() }

func (z *Size) openPerShard() float64 { return z.itemsPerShard() * z.BacklogDays * secondsPerDay }

func (z *Size) jobsPerShard() float64 {
	days := z.ResultsFor.Hours()/24 + z.BacklogDays
	return z.JobsPerDay * days / float64(z.Shards)
}

// perSecond is how often something that is done every d is done.
func perSecond(d time.Duration) float64 { return 1 / d.Seconds() }
