#ifndef BRIARSPREAD_CORE_STRONG_VALUE_H_
#define BRIARSPREAD_CORE_STRONG_VALUE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace briarspread {

/// A value of type `Rep` that is not convertible to or comparable with values
/// of another `Tag`. As thread-safe as `Rep`: const methods may run
/// concurrently.
template <typename Tag, typename Rep>
class StrongValue {
 public:
  using RepType = Rep;

  /// Creates the default value of `Rep`: an empty id or zero.
  StrongValue() = default;
  explicit constexpr StrongValue(Rep value) : value_(std::move(value)) {}

  constexpr const Rep& value() const { return value_; }

  friend auto operator<=>(const StrongValue&, const StrongValue&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongValue& v) {
    return out << v.value_;
  }

 private:
  Rep value_{};
};

}  // namespace briarspread

template <typename Tag, typename Rep>
struct std::hash<briarspread::StrongValue<Tag, Rep>> {
  std::size_t operator()(
      const briarspread::StrongValue<Tag, Rep>& v) const noexcept {
    return std::hash<Rep>{}(v.value());
  }
};

#endif  // BRIARSPREAD_CORE_STRONG_VALUE_H_
