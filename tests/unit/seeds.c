/* Chooses the seeds of a property test. */
#include "seeds.h"

#include <glib.h>
#include <stdlib.h>

unsigned
run_seeds(unsigned (*run)(uint32_t seed), uint32_t default_last,
          const uint32_t *extra, size_t extra_count, uint32_t *ran)
{
    const char *single_seed = g_getenv("RP_SEED");
    const char *seed_count = g_getenv("RP_SEEDS");
    uint32_t first = single_seed ? (uint32_t)strtoul(single_seed, NULL, 10)
                                 : 1;
    uint32_t last = single_seed ? first : default_last;
    unsigned sum = 0;

    if (seed_count) {
        last = (uint32_t)strtoul(seed_count, NULL, 10);
    }
    for (uint32_t seed = first; seed <= last; seed++) {
        sum += run(seed);
    }
    *ran = last - first + 1;
    for (size_t i = 0; !single_seed && !seed_count && i < extra_count; i++) {
        sum += run(extra[i]);
        *ran += 1;
    }
    return sum;
}
