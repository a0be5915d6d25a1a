#include "operator/Commands.h"

namespace dotterelcove {

int RunConfigCheck(CtlContext& context, const ParsedOptions&) {
  return Complain(context, kExitFailed, "not available in this version");
}

}  // namespace dotterelcove
