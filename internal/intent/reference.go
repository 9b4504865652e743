package intent

import (
	"fmt"
	"strings"
)

// descriptions holds the text for each section and key, the latter as Section.Key.
var descriptions = map[string]string{
	"Zone":                    "An availability zone. Targets in a zone that is not declared get no work.",
	"Zone.Region":             "The region of the zone.",
	"Zone.Out":                "true takes the zone out: no new work goes into it, and what runs there finishes.",
	"Service":                 "A service that callers reach.",
	"Service.IdempotentCalls": "The calls that may be run again; all others run at most once.",
	"Service.Resumable":       "Its engines can continue an interrupted event stream.",
	"Service.Model":           "The model that its targets load.",
	"Service.WeightBytes":     "What one target loads when it starts cold; plans count it.",
	"Service.LongestRun":      "How long one request may take; plans use it where targets report nothing.",
	"ColdLimit":               "The limits of the targets of a declared service.",
	"ColdLimit.Cold":          "How many requests at once a cold target gets at first.",
	"ColdLimit.Warm":          "How many requests at once a warm target gets at most.",
	"Target":                  "The operators' word on the target of one agent, named by the agent's ID.",
	"Target.Retired":          "true retires the target: it gets no new work.",
	"Workspace":               "The share of one workspace.",
	"Workspace.Weight":        "Its share under overload, against the other workspaces' weights. A new workspace has 1.",
	"Workspace.Priority":      "Higher goes first.",
	"Stop":                    "A planned stop of one process: it finishes what it has and ends. It is over once the process runs again; take the section out of the file then.",
	"Stop.Reason":             "Why, for history.",
	"Group":                   "An expert group.",
	"Group.Service":           "The service that it serves.",
	"Group.Ranks":             "How many ranks it has.",
	"Group.Experts":           "How many experts a layer has.",
	"Group.Layers":            "How many layers it has.",
	"Group.Slots":             "How many experts of a layer a rank holds.",
}

// Reference returns the reference of declarations in Markdown.
func Reference() string {
	var b strings.Builder

	b.WriteString("# Declarations\n\n" +
		"What operators declare, in INI; `parsleygate plan -f FILE` says what a declaration would change. Names stand in double\n" +
		"quotes in the section's head and have " + allowedNames + ".\n\n" +
		"What a declaration does not mention stays as it is. `Removed = true`, alone in its section, removes what the section\n" +
		"names. An unknown section or key, or one that is given twice, is an error with its line. Comments stand on lines of\n" +
		"their own, after `#` or `;`. At most " + fmt.Sprint(MaxBytes) + " bytes are read.\n")

	for _, k := range sectionKinds {
		fmt.Fprintf(&b, "\n## [%s \"name\"]\n\n%s\n\n| key | allowed | what it does |\n| --- | --- | --- |\n",
			k.keyword, descriptions[k.keyword])

		for _, f := range k.fields {
			fmt.Fprintf(&b, "| %s | %s | %s |\n", f.name, f.allowed, descriptions[k.keyword+"."+f.name])
		}
	}

	return b.String()
}
