/* Property runs: which seeds to run, from the environment or by default. */
#ifndef SEEDS_H
#define SEEDS_H

#include <stddef.h>
#include <stdint.h>

/* Runs RP_SEED alone if it is set, else 1 to RP_SEEDS, else 1 to
 * `default_last` and the `extra` ones. Returns the sum of what `run`
 * returned; `*ran` gets how many seeds were run. */
unsigned run_seeds(unsigned (*run)(uint32_t seed), uint32_t default_last,
                   const uint32_t *extra, size_t extra_count, uint32_t *ran);

#endif
