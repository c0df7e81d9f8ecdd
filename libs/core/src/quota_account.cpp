#include <barleyfork/core/quota_account.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

constexpr double ms_per_second = 1000.0;

/// Returns what is minted in this time.
double minted(double per_second, duration time)
{
    return per_second * static_cast<double>(time.count()) / ms_per_second;
}

} // namespace

double quota_account::cap() const noexcept
{
    return minted(fraction_ * terms_.per_second, terms_.times.balance);
}

void quota_account::mint(time_point now)
{
    const auto elapsed = std::max(now - minted_at_, duration{0});
    minted_at_ = std::max(minted_at_, now);
    balance_ = std::min(
        balance_ + minted(fraction_ * terms_.per_second, elapsed), cap());
}

void quota_account::drop_expired(time_point now)
{
    std::erase_if(credits_, [now](const auto& credit) {
        return credit.expires_at <= now;
    });
}

void quota_account::set_terms(const quota_terms& terms,
                              double fraction,
                              time_point now)
{
    if (terms_.per_second > 0.0)
        mint(now);
    else
        minted_at_ = now;
    if (terms.per_second < terms_.per_second)
        credits_.clear();
    terms_ = terms;
    fraction_ = fraction;
    balance_ = std::min(balance_, cap());
}

std::optional<quota_charge> quota_account::take(double tokens, time_point now)
{
    if (credit(now) + balance(now) < tokens)
        return std::nullopt;
    quota_charge charge;
    double missing = tokens;
    for (auto& credit : credits_) {
        const double used = std::min(credit.tokens, missing);
        if (used <= 0.0)
            break;
        credit.tokens -= used;
        missing -= used;
        charge.push_back({credit.expires_at, used});
    }
    std::erase_if(credits_,
                  [](const auto& credit) { return credit.tokens <= 0.0; });
    if (missing > 0.0) {
        balance_ = std::max(balance_ - missing, 0.0);
        charge.push_back({now + terms_.times.credit, missing});
    }
    return charge;
}

void quota_account::put_back(const quota_charge& charge, time_point now)
{
    for (const auto& part : charge)
        add_credit(part, now);
}

void quota_account::add_credit(const quota_credit& credit, time_point now)
{
    if (credit.expires_at <= now || credit.tokens <= 0.0)
        return;
    const auto next = std::upper_bound(credits_.begin(),
                                       credits_.end(),
                                       credit,
                                       [](const auto& a, const auto& b) {
                                           return a.expires_at < b.expires_at;
                                       });
    credits_.insert(next, credit);
}

double quota_account::take_balance(time_point now)
{
    mint(now);
    return std::exchange(balance_, 0.0);
}

double quota_account::balance(time_point now)
{
    mint(now);
    return balance_;
}

double quota_account::credit(time_point now)
{
    drop_expired(now);
    double sum = 0.0;
    for (const auto& credit : credits_)
        sum += credit.tokens;
    return sum;
}

} // namespace barleyfork
