#ifndef CRANBERRYPLANK_CONTROL_CALLBACK_GUARD_H_
#define CRANBERRYPLANK_CONTROL_CALLBACK_GUARD_H_

#include <memory>
#include <utility>

namespace cranberryplank {

/// Member of an object that starts calls to the platform. Callbacks wrapped by it do nothing once
/// the object is destroyed, since a call may be answered after that.
class CallbackGuard {
 public:
  template <typename Callback>
  auto Wrap(Callback callback) const {
    return [alive = std::weak_ptr<int>(m_alive),
            callback = std::move(callback)](const auto&... arguments) mutable {
      if (!alive.expired()) {
        callback(arguments...);
      }
    };
  }

 private:
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_CALLBACK_GUARD_H_
