package main

type arguments struct {
	Config     *configArguments     `arg:"subcommand:config" help:"put, get, change, history, diff, check"`
	Zone       *zoneArguments       `arg:"subcommand:zone" help:"drain, restore"`
	Router     *routerArguments     `arg:"subcommand:router" help:"forget"`
	Core       *coreArguments       `arg:"subcommand:core" help:"look, rebuild: recovery after the majority of the core's disks is lost"`
	Submission *submissionArguments `arg:"subcommand:submission" help:"outcome of an operation"`
	Fleet      *struct{}            `arg:"subcommand:fleet" help:"nodes, engines, zones and the leader"`
	Status     *statusArguments     `arg:"subcommand:status" help:"whether the core is whole, and how many more voters it can lose"`
	Explain    *explainArguments    `arg:"subcommand:explain" help:"why a request was routed to its engine"`
	Journal    *journalArguments    `arg:"subcommand:journal" help:"decisions recorded by all nodes"`
	Nodes      []string             `arg:"--node,separate,env:DUNLINCTL_NODES" help:"public address of a node; several addresses are tried in turn"`
	JSON       bool                 `arg:"--json" help:"print the JSON of the nodes' responses"`
}

type configArguments struct {
	Put *struct {
		File       string  `arg:"positional,required"`
		Base       *uint64 `arg:"--base" help:"revision that the edit is based on"`
		Submission string  `arg:"--submission" help:"submission ID; a retry with the same ID gets the same acknowledgement"`
	} `arg:"subcommand:put"`
	Get *struct {
		Revision uint64 `arg:"--revision"`
	} `arg:"subcommand:get"`
	History *struct{} `arg:"subcommand:history" help:"list the configurations that can be read"`
	Diff    *struct {
		A uint64 `arg:"positional,required"`
		B uint64 `arg:"positional,required"`
	} `arg:"subcommand:diff" help:"print the differences between the configurations of two revisions"`
	Check *struct {
		File string `arg:"positional,required"`
	} `arg:"subcommand:check"`
	Change *struct {
		File string `arg:"positional,required" help:"JSON file with version, upsert and remove"`
	} `arg:"subcommand:change" help:"change only the items that a file names in the current configuration"`
}

type zoneArguments struct {
	Drain   *zoneName `arg:"subcommand:drain"`
	Restore *zoneName `arg:"subcommand:restore"`
}

type zoneName struct {
	Zone       string `arg:"positional,required"`
	Submission string `arg:"--submission"`
}

type routerArguments struct {
	Deregister *struct {
		Address string `arg:"positional,required" help:"peer address of a router that is known to be dead"`
	} `arg:"subcommand:forget"`
}

type submissionArguments struct {
	ID string `arg:"positional,required" help:"submission ID; the query rejects the operation for good if it is still pending"`
}

type explainArguments struct {
	Request string `arg:"positional,required" help:"value of the Dunlinloom-Request response header"`
}

type journalArguments struct {
	Part    string `arg:"--part" help:"control, relay or platform"`
	Subject string `arg:"--subject" help:"core, licence, home, \"engine ID\", \"node ADDRESS\", \"submission ID\" or a request ID"`
	Last    int    `arg:"--last" default:"50"`
	Since   string `arg:"--since" help:"print a timeline of the whole fleet since then: a duration like 12h, or a time like 2031-05-06T18:00:00Z"`
}

func (arguments) Description() string {
	return "dunlinctl controls a dunlinloom fleet through any of its nodes."
}
