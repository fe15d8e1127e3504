#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <utility>

namespace hornbeamhook::state {

/**
 * A container that copies of its owner share until one of them changes it. Snapshots that are
 * published many times a second would otherwise copy every entry each time. Copies may be read by
 * several threads; one copy is changed by one thread.
 */
template <typename container>
class copy_on_write {
public:
    copy_on_write() = default;
    copy_on_write(std::initializer_list<typename container::value_type> values)
        : value_(std::make_shared<container>(values)) {}
    copy_on_write(container value) : value_(std::make_shared<container>(std::move(value))) {}

    /** The content. */
    const container& get() const { return *value_; }

    /** The content for changes; shared content is copied first. */
    container& edit() {
        if (value_.use_count() > 1) {
            value_ = std::make_shared<container>(*value_);
        }
        return *value_;
    }

    auto begin() const { return get().begin(); }
    auto end() const { return get().end(); }
    auto begin() { return edit().begin(); }
    auto end() { return edit().end(); }
    std::size_t size() const { return get().size(); }
    bool empty() const { return get().empty(); }

    template <typename key>
    auto find(const key& value) const {
        return get().find(value);
    }
    template <typename key>
    bool contains(const key& value) const {
        return get().contains(value);
    }
    template <typename key>
    const auto& at(const key& value) const {
        return get().at(value);
    }
    template <typename key>
    const auto& operator[](const key& value) const {
        return get()[value];
    }
    template <typename key>
    auto& operator[](const key& value) {
        return edit()[value];
    }
    template <typename position>
    void erase(const position& value) {
        edit().erase(value);
    }
    void clear() { value_ = std::make_shared<container>(); }
    template <typename element>
    void push_back(element&& value) {
        edit().push_back(std::forward<element>(value));
    }
    template <typename key, typename element>
    void emplace(key&& name, element&& value) {
        edit().emplace(std::forward<key>(name), std::forward<element>(value));
    }

    bool operator==(const copy_on_write& other) const {
        return value_ == other.value_ || *value_ == *other.value_;
    }

private:
    std::shared_ptr<container> value_ = std::make_shared<container>();
};

}  // namespace hornbeamhook::state
