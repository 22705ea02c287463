/* A moving average of the utilisation. See rp_load_average.h. */
#include "rp_load_average.h"

#include <glib.h>

#define FRACTION_BITS 20
/* A longer time without an update makes no difference to the mean. */
#define MAX_STEP_US (1000 * RP_LOAD_WINDOW_US)

void
RpLoadAverage_Init(struct rp_load_average *average, int64_t now)
{
    *average = (struct rp_load_average){
        .updated = now, .value = (int64_t)RP_LOAD_UNIT << FRACTION_BITS};
}

void
RpLoadAverage_Update(struct rp_load_average *average, int64_t now,
                     uint32_t busy, uint32_t slots)
{
    int64_t step = CLAMP(now - average->updated, 0, MAX_STEP_US);
    uint64_t utilisation = MIN((uint64_t)busy * RP_LOAD_UNIT / slots,
                               RP_LOAD_MAX);
    int64_t target = (int64_t)utilisation << FRACTION_BITS;

    average->value += (target - average->value) * step /
                      (RP_LOAD_WINDOW_US + step);
    average->updated = MAX(average->updated, now);
}

uint8_t
RpLoadAverage_Utilisation(const struct rp_load_average *average)
{
    int64_t half = INT64_C(1) << (FRACTION_BITS - 1);

    return (uint8_t)CLAMP((average->value + half) >> FRACTION_BITS, 0,
                          RP_LOAD_MAX);
}
