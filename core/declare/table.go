package declare

import "chervilpath/core/option"

// Kinds of sections.
const (
	pipelineSection     = "pipeline"
	stageSection        = "stage"
	endpointSection     = "endpoint"
	kindSection         = "kind"
	organisationSection = "organisation"
)

// Table is the table of every option of a declaration file.
var Table = option.Table{
	Title: "Declarations",
	Doc: "A declaration file is kept beside a service's code. `chervilpath publish` collects the files, checks the whole\n" +
		"that would result and puts it in force. A section may stand in any file, but only in one.",
	Sections: []option.Section{
		{
			Kind: pipelineSection, Named: true,
			Doc: "The stages that a request passes through, in order.",
			Options: []option.Option{
				{Key: "stages", Kind: option.NameList, Required: true, Doc: "Stages in order. The name of another pipeline stands for its stages."},
			},
		},
		{
			Kind: stageSection, Named: true,
			Doc: "One step of a pipeline. Every endpoint that lists the stage can serve it.",
			Options: []option.Option{
				{Key: "unit", Kind: option.Choice, Choices: []string{"calls", "images", "documents", "tokens"}, Default: "calls", Doc: "What the stage's cost is counted in."},
				{Key: "price", Kind: option.Number, Default: "1", Min: 0, Max: 1e9, Doc: "Cost of one unit, in millionths of the operator's currency."},
				{Key: "idempotent", Kind: option.Flag, Default: "yes", Doc: "Whether a call may be sent again. A call of a stage that is not idempotent is sent at most once."},
				{Key: "retries", Kind: option.Number, Default: "1", Min: 0, Max: 5, Doc: "Most times a failed call is sent again, within the retry budget. Only for idempotent stages."},
				{Key: "hedge", Kind: option.Flag, Default: "no", Doc: "Whether a slow call is sent to a second endpoint, within the retry budget. Only for idempotent stages."},
				{Key: "queue", Kind: option.Number, Default: "1000", Min: 1, Max: 100000, Doc: "Most requests that wait for the stage at one instance."},
				{Key: "model", Kind: option.Name, Doc: "Model that the endpoint has to have loaded. Only for stages served by engines."},
				{Key: "adapter", Kind: option.Name, Doc: "Adapter that the engine has to have loaded, and that is asked for in place of the model."},
				{Key: "affinity", Kind: option.Flag, Default: "no", Doc: "Whether requests with the same prompt prefix prefer the same endpoint."},
			},
		},
		{
			Kind: endpointSection, Named: true,
			Doc: "One server behind a stage.",
			Options: []option.Option{
				{Key: "address", Kind: option.URL, Required: true, Doc: "Where the endpoint listens."},
				{Key: "kind", Kind: option.Choice, Choices: []string{"engine", "pool", "service"}, Required: true, Doc: "Protocol: a model engine, a member of a stage pool, or a plain service."},
				{Key: "stages", Kind: option.NameList, Required: true, Doc: "Stages that the endpoint serves."},
				{Key: "failureDomain", Kind: option.Name, Required: true, Doc: "Failure domain in which the endpoint runs."},
				{Key: "slots", Kind: option.Number, Default: "8", Min: 1, Max: 100000, Doc: "Calls that the endpoint works on at once."},
				{Key: "reportsLoad", Kind: option.Flag, Default: "no", Doc: "Whether the endpoint reports its load."},
				{Key: "checksCaller", Kind: option.Flag, Default: "no", Doc: "Whether the endpoint checks who gives it an order."},
				{Key: "refusesOldFence", Kind: option.Flag, Default: "no", Doc: "Whether an engine refuses an order that carries an old fencing number."},
				{Key: "models", Kind: option.NameList, Doc: "Models that an engine may load."},
				{Key: "modelSlots", Kind: option.Number, Default: "0", Min: 0, Max: 100, Doc: "Models that an engine loads at once; 0 means all of `models`. If it is fewer, demand decides which."},
				{Key: "adapters", Kind: option.NameList, Doc: "Adapters that an engine is to have loaded."},
				{Key: "role", Kind: option.Choice, Choices: []string{"any", "prefill", "decode"}, Default: "any", Doc: "What an engine is to do; `any` leaves it as it is."},
				{Key: "resumes", Kind: option.Flag, Default: "no", Doc: "Whether an engine resumes a broken stream after the last token received."},
			},
		},
		{
			Kind: kindSection, Named: true,
			Doc: "One kind of request that callers send.",
			Options: []option.Option{
				{Key: "pipeline", Kind: option.Name, Required: true, Doc: "Pipeline that serves the kind."},
				{Key: "priority", Kind: option.Choice, Choices: []string{"high", "normal", "low"}, Default: "normal", Doc: "Class in which requests wait; a higher class is served first."},
				{Key: "idempotent", Kind: option.Flag, Default: "yes", Doc: "Whether the request may run more than once. If not, the caller has to send a ticket or a key of its own."},
				{Key: "deadline", Kind: option.Duration, Default: "3s", Min: 0.01, Max: 600, Doc: "Longest deadline that a caller can ask for, and the deadline of one that asks for none."},
				{Key: "retries", Kind: option.Number, Default: "0", Min: 0, Max: 5, Doc: "Most repeats over the whole pipeline. Only for idempotent kinds."},
			},
		},
		{
			Kind: organisationSection, Named: true,
			Doc: "One organisation whose callers are served and to which cost is attributed.",
			Options: []option.Option{
				{Key: "keyHashes", Kind: option.TextList, Required: true, Doc: "`sha256:` and the hex digest of each valid key. Two are valid at once while a key is rotated."},
				{Key: "share", Kind: option.Number, Default: "1", Min: 0.001, Max: 1000000, Doc: "Weight of the organisation when a stage is full."},
				{Key: "concurrent", Kind: option.Number, Default: "1000", Min: 1, Max: 1000000, Doc: "Most requests in flight at one instance."},
			},
		},
	},
}
