package main

type arguments struct {
	Config     *configArguments     `arg:"subcommand:config" help:"put, get, change, history, diff, check"`
	Zone       *zoneArguments       `arg:"subcommand:zone" help:"drain, restore"`
	Router     *routerArguments     `arg:"subcommand:router" help:"forget"`
	Core       *coreArguments       `arg:"subcommand:core" help:"look, rebuild: when the majority of the core's disks is gone"`
	Submission *submissionArguments `arg:"subcommand:submission" help:"how an order ended"`
	Fleet      *struct{}            `arg:"subcommand:fleet" help:"nodes, engines, zones, who leads"`
	Status     *statusArguments     `arg:"subcommand:status" help:"whether the core is whole, and how many losses it can bear now"`
	Explain    *explainArguments    `arg:"subcommand:explain" help:"why a request went where it did"`
	Journal    *journalArguments    `arg:"subcommand:journal" help:"decisions of all nodes"`
	Nodes      []string             `arg:"--node,separate,env:DUNLINCTL_NODES" help:"public address of a node; several are tried in turn"`
	JSON       bool                 `arg:"--json" help:"print the nodes' own JSON"`
}

type configArguments struct {
	Put *struct {
		File       string  `arg:"positional,required"`
		Base       *uint64 `arg:"--base" help:"the revision the edit began from"`
		Submission string  `arg:"--submission" help:"id; the same one again gets the same acknowledgement"`
	} `arg:"subcommand:put"`
	Get *struct {
		Revision uint64 `arg:"--revision"`
	} `arg:"subcommand:get"`
	History *struct{} `arg:"subcommand:history" help:"the configurations that can be read"`
	Diff    *struct {
		A uint64 `arg:"positional,required"`
		B uint64 `arg:"positional,required"`
	} `arg:"subcommand:diff" help:"what changed between the configurations of two revisions"`
	Check *struct {
		File string `arg:"positional,required"`
	} `arg:"subcommand:check"`
	Change *struct {
		File string `arg:"positional,required" help:"JSON of version, upsert and remove"`
	} `arg:"subcommand:change" help:"change only the items that a file names, on top of the configuration in force"`
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
		Address string `arg:"positional,required" help:"peer address of a router that you know to be dead"`
	} `arg:"subcommand:forget"`
}

type submissionArguments struct {
	ID string `arg:"positional,required" help:"asking makes an order that is still open a final no"`
}

type explainArguments struct {
	Request string `arg:"positional,required" help:"the Dunlinloom-Request header of the answer"`
}

type journalArguments struct {
	Part    string `arg:"--part" help:"control, relay or platform"`
	Subject string `arg:"--subject" help:"core, licence, home, \"engine ID\", \"node ADDRESS\", \"submission ID\" or a request's id"`
	Last    int    `arg:"--last" default:"50"`
	Since   string `arg:"--since" help:"tell what happened since then over the whole fleet: a span like 12h, or a moment like 2031-05-06T18:00:00Z"`
}

func (arguments) Description() string {
	return "dunlinctl drives a dunlinloom fleet through any of its nodes."
}
