#include "operator/Commands.h"

namespace dotterelcove {

int RunConfigPublish(CtlContext& context, const ParsedOptions&) {
  return Complain(context, kExitFailed, "not available in this version");
}

}  // namespace dotterelcove
