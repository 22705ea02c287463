/* Measures placement: simulates every scenario under every policy.
 *
 * placement [SEEDS [each]] prints the medians over SEEDS seeds; with "each" it
 * prints every single run as well. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model.h"

#define MAX_SEEDS 1000

enum model_kind { MODEL_FLOWS, MODEL_PINNED, MODEL_PINNED_MIXED };

static const char *const suffixes[] = {"", "/pinned", "/pinned-mixed"};

static void
run_one(enum model_kind kind, const struct scenario *scenario, size_t policy,
        uint32_t seed, struct outcome *outcome)
{
    if (kind == MODEL_FLOWS) {
        run_flow_model(scenario, policy, seed, outcome);
    }
    else {
        run_pinned_model(scenario, policy, kind == MODEL_PINNED_MIXED, seed,
                         outcome);
    }
}

static void
measure(enum model_kind kind, const struct scenario *scenario, size_t policy,
        const char *policy_name, uint32_t seeds, bool each)
{
    struct summary runs[MAX_SEEDS];
    char name[64];
    char label[16];

    snprintf(name, sizeof name, "%s%s", scenario->name, suffixes[kind]);
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        struct outcome outcome;
        outcome_init(&outcome);
        run_one(kind, scenario, policy, seed, &outcome);
        runs[seed - 1] = summarise(&outcome);
        outcome_clear(&outcome);
        if (each) {
            snprintf(label, sizeof label, "%u", seed);
            print_summary(name, policy_name, label, &runs[seed - 1]);
        }
    }
    struct summary median = median_summary(runs, seeds);
    snprintf(label, sizeof label, "1..%u", seeds);
    print_summary(name, policy_name, label, &median);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    uint32_t seeds = DEFAULT_SEEDS;
    bool each = argc > 2 && !strcmp(argv[2], "each");

    if (argc > 1) {
        seeds = (uint32_t)strtoul(argv[1], NULL, 10);
    }
    if (seeds < 1 || seeds > MAX_SEEDS) {
        fprintf(stderr, "usage: placement [SEEDS [each]]\n");
        return 2;
    }
    for (size_t i = 0; i < scenario_count; i++) {
        for (size_t j = 0; flow_policies[j]; j++) {
            measure(MODEL_FLOWS, &scenarios[i], j, flow_policies[j], seeds,
                    each);
        }
        for (size_t j = 0; pinned_policies[j]; j++) {
            measure(MODEL_PINNED, &scenarios[i], j, pinned_policies[j], seeds,
                    each);
        }
        for (size_t j = 0; pinned_policies[j]; j++) {
            measure(MODEL_PINNED_MIXED, &scenarios[i], j, pinned_policies[j],
                    seeds, each);
        }
    }
    return 0;
}
