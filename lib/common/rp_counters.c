/* Names and explanations of the counters. */
#include "rp_counters.h"

static const struct {
    const char *name;
    const char *help;
} counter_texts[RP_COUNTER_COUNT] = {
#define RP_COUNTER_TEXT(symbol, name, help) {name, help},
    RP_COUNTER_LIST(RP_COUNTER_TEXT)
#undef RP_COUNTER_TEXT
};

const char *
RpCounter_Name(enum rp_counter counter)
{
    return counter_texts[counter].name;
}

const char *
RpCounter_Help(enum rp_counter counter)
{
    return counter_texts[counter].help;
}
