#include "load/history.h"

#include <iterator>
#include <utility>

namespace hornbeamhook::load {

namespace {

template <class T>
void move_all(std::vector<T>& from, std::vector<T>& to) {
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

}  // namespace

void history::append(history other) {
    move_all(other.writes, writes);
    move_all(other.reads, reads);
    move_all(other.transactions, transactions);
    move_all(other.answers, answers);
    move_all(other.events, events);
}

}  // namespace hornbeamhook::load
