#include "hibiscus/telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hibiscus::telemetry {

/// Holds the registry and the metric families of the Prometheus library.
class metrics::impl {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& responses =
        prometheus::BuildCounter()
            .Name("hibiscus_answers_total")
            .Help("Answers to callers")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& events =
        prometheus::BuildCounter()
            .Name("hibiscus_events_total")
            .Help("Events that an operator may ask about")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges =
        prometheus::BuildGauge()
            .Name("hibiscus_state")
            .Help("What the node holds at the moment")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& latencies =
        prometheus::BuildHistogram()
            .Name("hibiscus_latency_ms")
            .Help("How long answers and steps of work took")
            .Register(registry);
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::count_response(const std::string& kind,
                             const std::string& outcome,
                             const std::string& reason) {
    impl_->responses
        .Add({{"kind", kind}, {"outcome", outcome}, {"reason", reason}})
        .Increment();
}

void metrics::count_event(const std::string& name) {
    impl_->events.Add({{"event", name}}).Increment();
}

void metrics::set(const std::string& name, double value) {
    impl_->gauges.Add({{"what", name}}).Set(value);
}

void metrics::observe(const std::string& kind, base::millis ms) {
    static const prometheus::Histogram::BucketBoundaries bucket_bounds_ms{
        5, 10, 25, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000};
    impl_->latencies.Add({{"kind", kind}}, bucket_bounds_ms)
        .Observe(static_cast<double>(ms));
}

std::string metrics::serialize() const {
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace hibiscus::telemetry
