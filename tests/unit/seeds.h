/* Seeds of the property tests: from the environment, or else the default. */
#ifndef SEEDS_H
#define SEEDS_H

#include <stddef.h>
#include <stdint.h>

/* Calls `run` with the seed RP_SEED if that variable is set, else with the
 * seeds 1 to RP_SEEDS if that is set, else with 1 to `default_last` and with
 * the `extra` seeds. Returns the sum of the results of `run` and sets `*ran`
 * to the number of seeds run. */
unsigned run_seeds(unsigned (*run)(uint32_t seed), uint32_t default_last,
                   const uint32_t *extra, size_t extra_count, uint32_t *ran);

#endif
