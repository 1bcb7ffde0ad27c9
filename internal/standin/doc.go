// Package standin implements fakes of the systems around apricotstream: model engines,
// plain services, the weight store, the platform, the usage receiver, the scoring service
// and callers. They speak the documented protocols, and faults can be injected into them.
// They are not part of the product.
package standin
