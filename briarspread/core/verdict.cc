#include "briarspread/core/verdict.h"

namespace briarspread {

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kAnswered:
      return "answered";
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
  }
  return "may-have-run";
}

std::optional<Verdict> ParseVerdict(std::string_view text) {
  if (text == "answered") return Verdict::kAnswered;
  if (text == "not-run") return Verdict::kNotRun;
  if (text == "may-have-run") return Verdict::kMayHaveRun;
  return std::nullopt;
}

}  // namespace briarspread
