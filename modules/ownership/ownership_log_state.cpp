#include <ownership/ownership.h>
