package declare

import "chervilpath/core/option"

// The kinds of sections.
const (
	pipelineSection     = "pipeline"
	stageSection        = "stage"
	endpointSection     = "endpoint"
	kindSection         = "kind"
	organisationSection = "organisation"
)

// Table lists every option of a declaration file.
var Table = option.Table{
	Title: "Declarations",
	Doc: "A declaration file is kept next to a service's code. `chervilpath publish` collects the files, checks the\n" +
		"resulting set of declarations and puts it in force. A section may appear in any file, but in only one.",
	Sections: []option.Section{
		{
			Kind: pipelineSection, Named: true,
			Doc: "The stages that a request passes through, in order.",
			Options: []option.Option{
				{Key: "stages", Kind: option.NameList, Required: true, Doc: "Stages in order. The name of another pipeline is replaced by its stages."},
			},
		},
		{
			Kind: stageSection, Named: true,
			Doc: "One step of a pipeline. Every endpoint that lists the stage can serve it.",
			Options: []option.Option{
				{Key: "unit", Kind: option.Choice, Choices: []string{"calls", "images", "documents", "tokens"}, Default: "calls", Doc: "Unit in which the stage's cost is counted."},
				{Key: "price", Kind: option.Number, Default: "1", Min: 0, Max: 1e9, Doc: "Cost of one unit, in millionths of the operator's currency."},
				{Key: "idempotent", Kind: option.Flag, Default: "yes", Doc: "Whether a call may be sent more than once. A call of a non-idempotent stage is sent at most once."},
				{Key: "retries", Kind: option.Number, Default: "1", Min: 0, Max: 5, Doc: "Maximum number of retries of a failed call, within the retry budget. Only for idempotent stages."},
				{Key: "hedge", Kind: option.Flag, Default: "no", Doc: "Whether a slow call is also sent to a second endpoint, within the retry budget. Only for idempotent stages."},
				{Key: "queue", Kind: option.Number, Default: "1000", Min: 1, Max: 100000, Doc: "Maximum number of requests that wait for the stage at one instance."},
				{Key: "model", Kind: option.Name, Doc: "Model that the endpoint must have loaded. Only for stages served by engines."},
				{Key: "adapter", Kind: option.Name, Doc: "Adapter that the engine must have loaded. Calls ask for it in place of the model."},
				{Key: "affinity", Kind: option.Flag, Default: "no", Doc: "Whether requests with the same prompt prefix prefer the same endpoint."},
			},
		},
		{
			Kind: endpointSection, Named: true,
			Doc: "One network address that serves one or more stages.",
			Options: []option.Option{
				{Key: "address", Kind: option.URL, Required: true, Doc: "URL at which the endpoint listens."},
				{Key: "kind", Kind: option.Choice, Choices: []string{"engine", "pool", "service"}, Required: true, Doc: "Protocol of the endpoint: a model engine, a member of a stage pool, or a plain service."},
				{Key: "stages", Kind: option.NameList, Required: true, Doc: "Stages that the endpoint serves."},
				{Key: "failureDomain", Kind: option.Name, Required: true, Doc: "Failure domain in which the endpoint runs."},
				{Key: "slots", Kind: option.Number, Default: "8", Min: 1, Max: 100000, Doc: "Number of calls that the endpoint processes concurrently."},
				{Key: "reportsLoad", Kind: option.Flag, Default: "no", Doc: "Whether the endpoint reports its load."},
				{Key: "checksCaller", Kind: option.Flag, Default: "no", Doc: "Whether the endpoint authenticates the sender of an order."},
				{Key: "refusesOldFence", Kind: option.Flag, Default: "no", Doc: "Whether an engine refuses an order that carries an outdated fencing number."},
				{Key: "models", Kind: option.NameList, Doc: "Models that an engine may load."},
				{Key: "modelSlots", Kind: option.Number, Default: "0", Min: 0, Max: 100, Doc: "Number of models that an engine holds loaded at once; 0 means all of `models`. If it is fewer, demand decides which ones."},
				{Key: "adapters", Kind: option.NameList, Doc: "Adapters that an engine should have loaded."},
				{Key: "role", Kind: option.Choice, Choices: []string{"any", "prefill", "decode"}, Default: "any", Doc: "Role that an engine should have; `any` leaves its role unchanged."},
				{Key: "resumes", Kind: option.Flag, Default: "no", Doc: "Whether an engine can resume an interrupted stream after the last token received."},
			},
		},
		{
			Kind: kindSection, Named: true,
			Doc: "One kind of request that callers send.",
			Options: []option.Option{
				{Key: "pipeline", Kind: option.Name, Required: true, Doc: "Pipeline that serves the kind."},
				{Key: "priority", Kind: option.Choice, Choices: []string{"high", "normal", "low"}, Default: "normal", Doc: "Priority class of the requests; a higher class is served first."},
				{Key: "idempotent", Kind: option.Flag, Default: "yes", Doc: "Whether a request may run more than once. If not, the caller must send a ticket or an idempotency key of its own."},
				{Key: "deadline", Kind: option.Duration, Default: "3s", Min: 0.01, Max: 600, Doc: "Longest deadline that a caller can ask for, and the default for callers that ask for none."},
				{Key: "retries", Kind: option.Number, Default: "0", Min: 0, Max: 5, Doc: "Maximum number of retries over the whole pipeline. Only for idempotent kinds."},
			},
		},
		{
			Kind: organisationSection, Named: true,
			Doc: "One organisation whose callers are served and to which cost is attributed.",
			Options: []option.Option{
				{Key: "keyHashes", Kind: option.TextList, Required: true, Doc: "`sha256:` and the hex digest of each valid key. List two while a key is rotated."},
				{Key: "share", Kind: option.Number, Default: "1", Min: 0.001, Max: 1000000, Doc: "Weight of the organisation in the fair sharing of a stage that is at capacity."},
				{Key: "concurrent", Kind: option.Number, Default: "1000", Min: 1, Max: 1000000, Doc: "Maximum number of the organisation's requests in flight at one instance."},
			},
		},
	},
}
