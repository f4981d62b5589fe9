package structs

// Fleet is what one process knows of the targets now. It lags.
type Fleet struct {
	Targets []FleetTarget `json:"targets"`
	// Waiting counts requests and items that wait for a model.
	Waiting map[ModelID]int `json:"waiting,omitempty"`
	// Sizes are the bytes of model versions at the weight store, as far as known.
	Sizes map[ModelVersion]int64 `json:"-"`
	// WeightBytesPerS is the weight store's rate for the whole fleet; 0 is not known.
	WeightBytesPerS float64 `json:"weight_bytes_per_s,omitempty"`
}

// ModelVersion names one version of a model.
type ModelVersion struct {
	Model   ModelID
	Version string
}

// FleetTarget is one target with the host that it stands on.
type FleetTarget struct {
	ID     TargetID      `json:"id"`
	Host   HostID        `json:"host"`
	Domain FailureDomain `json:"domain"`
	// Live says that the host list shows the host as live or that its session is up.
	Live bool `json:"live"`
	// Leaving says that the platform takes the host away.
	Leaving bool     `json:"leaving,omitempty"`
	Loaded  []Loaded `json:"loaded,omitempty"`
	Online  int      `json:"online,omitempty"` // requests at the target or waiting for it
	Batch   int      `json:"batch,omitempty"`  // items at the target
	Limit   int      `json:"limit,omitempty"`  // concurrency limit found by the side
}
