package errs

import "maps"

// Info is what a Type says by default.
type Info struct {
	Status int    // HTTP status towards callers.
	Ran    Ran    // Whether the request ran, unless the error says otherwise.
	Advice string // What the caller should do.
}

// Lookup returns the defaults of t. An unknown type is treated as Internal.
func Lookup(t Type) Info {
	if info, ok := table[t]; ok {
		return info
	}
	return table[Internal]
}

// Types returns every type with its defaults, for docs/API.md and its test.
func Types() map[Type]Info { return maps.Clone(table) }

var table = map[Type]Info{
	BadRequest:       {400, RanNo, "correct the request"},
	BodyTooLarge:     {413, RanNo, "send a smaller body"},
	HeadTooLarge:     {431, RanNo, "send fewer or shorter header lines"},
	RequestTimeout:   {408, RanNo, "send the whole request in less time"},
	ProcessFull:      {503, RanNo, "come back after the time given; another gateway may have room"},
	BadItem:          {400, RanNo, "correct the line that is named"},
	BadSettings:      {400, RanNo, "correct the settings that are named"},
	BadFrame:         {502, RanUnknown, "resend if idempotent; report it"},
	Unauthenticated:  {401, RanNo, "send a valid key"},
	ConfigStale:      {503, RanNo, "come back after the time given; another gateway takes it"},
	Forbidden:        {403, RanNo, "ask an operator for the right"},
	NotFound:         {404, RanNo, "check the name"},
	UnknownModel:     {404, RanNo, "see GET /v1/models"},
	UnknownService:   {404, RanNo, "check the path"},
	Conflict:         {409, RanNo, "plan again from the present state"},
	KeyReused:        {422, RanNo, "use a new key for other content"},
	KeyInProgress:    {409, RanNo, "wait, then resend with the same key"},
	KeyUnverifiable:  {503, RanUnknown, "check with the service before sending under a new key"},
	RateLimited:      {429, RanNo, "come back after the time given"},
	Overloaded:       {503, RanNo, "come back after the time given"},
	DeadlineUnmet:    {503, RanNo, "come back after the time given or allow more time"},
	DeadlineExceeded: {504, RanUnknown, "resend if idempotent"},
	NoTarget:         {503, RanNo, "come back after the time given"},
	Draining:         {503, RanNo, "resend; another target takes it"},
	Preempted:        {503, RanUnknown, "resend if idempotent"},
	TargetFailed:     {502, RanUnknown, "resend if idempotent"},
	TargetCrashed:    {502, RanUnknown, "resend if idempotent"},
	TargetTimeout:    {504, RanUnknown, "resend if idempotent"},
	TargetRefused:    {502, RanYes, "correct the request; the target refused it"},
	StreamBroken:     {502, RanUnknown, "resend if idempotent"},
	AnswerTooLarge:   {502, RanUnknown, "resend if idempotent; report it if it recurs: a target sends more than an answer may have"},
	Quarantined:      {502, RanNo, "don't resend it: targets crash under this request, or under a part of its prompt that the message names; report it"},
	VersionGone:      {503, RanNo, "request the stream from the beginning: no target of the version that began it is left"},
	StreamUnknown:    {503, RanNo, "resend, naming the request that brought the first event, or request the stream from the beginning"},
	SessionLost:      {502, RanUnknown, "resend if idempotent"},
	Cancelled:        {409, RanUnknown, "nothing; it was cancelled"},
	LogDown:          {503, RanNo, "come back after the time given, with the same key"},
	LogBusy:          {503, RanNo, "come back after the time given, with the same key"},
	LogTrimmed:       {500, RanUnknown, "read from the latest snapshot"},
	AppendUnknown:    {503, RanUnknown, "resend with the same key"},
	StoreFull:        {503, RanNo, "come back after the time given; an operator must free space"},
	NotOwner:         {503, RanNo, "resend; the owner has moved"},
	StaleEpoch:       {409, RanNo, "nothing; a newer owner has taken over"},
	StalePlan:        {409, RanNo, "plan again; a conflicting intent came first"},
	StaleFence:       {409, RanNo, "nothing; a newer order came first"},
	AttemptsSpent:    {502, RanYes, "look at the item; every attempt failed"},
	ItemUnknown:      {502, RanUnknown, "check with the service; the item was started once and its outcome is not known"},
	Internal:         {500, RanUnknown, "resend if idempotent; report it"},
}
